"""Injects random faults, two at a time, under load and checks invariants."""

from __future__ import annotations
