"""Queueing, placement and engine state of one cell, without any I/O."""

from __future__ import annotations
