"""Experiments: compare variants of the settings on the same seeds."""

from __future__ import annotations
