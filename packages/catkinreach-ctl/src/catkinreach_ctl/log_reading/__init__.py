"""Explains requests from the JSON decision logs of front processes."""

from __future__ import annotations
