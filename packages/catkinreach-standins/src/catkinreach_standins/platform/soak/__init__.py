"""Randomized soak: real front processes under faults from outside them."""

from __future__ import annotations
