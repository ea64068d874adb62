"""Checks of invariants over the records of a run.

Every check depends on records alone and returns the violations that it finds,
so that a test can show that it finds a constructed one.
"""

from __future__ import annotations
