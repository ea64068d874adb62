"""Checks of what must always hold, over records of a run.

Every check is a function of records alone and returns its violations, so
that it can be shown to fail on a planted one.
"""

from __future__ import annotations
