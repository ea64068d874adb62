"""Injects random pairs of faults under load and checks all invariants."""

from __future__ import annotations
