"""Command line for operators: checks, status, load and experiments."""

from __future__ import annotations
