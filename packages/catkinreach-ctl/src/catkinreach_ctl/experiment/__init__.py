"""Experiments: policies or versions in turn on the same seeds."""

from __future__ import annotations
