"""Command line of operators: checks, status, load and experiments."""

from __future__ import annotations
