"""Plots of experiments; they need the extra ``plots`` (matplotlib)."""

from __future__ import annotations
