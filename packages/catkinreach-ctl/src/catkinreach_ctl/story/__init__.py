"""Tells from the logs of the front programs what became of a request."""

from __future__ import annotations
