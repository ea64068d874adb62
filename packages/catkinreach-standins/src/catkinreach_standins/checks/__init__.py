"""Checks of invariants over the records of a run.

Every check depends on records alone and returns the violations that it finds.
So a unit test can pass it records with a constructed violation.
"""

from __future__ import annotations
