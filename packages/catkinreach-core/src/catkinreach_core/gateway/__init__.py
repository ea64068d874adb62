"""Decisions of a node that answers for itself and only reads a store."""

from __future__ import annotations
