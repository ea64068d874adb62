"""Builders of inputs of the core, for tests."""

from __future__ import annotations
