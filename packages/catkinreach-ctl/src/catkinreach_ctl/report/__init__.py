"""Plots of experiments; needs the extra ``plots``."""

from __future__ import annotations
