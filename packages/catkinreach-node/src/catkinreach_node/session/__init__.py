"""Stages that process a caller's request, from acceptance to its answer."""

from __future__ import annotations
