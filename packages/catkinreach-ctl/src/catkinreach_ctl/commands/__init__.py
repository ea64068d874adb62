"""Subcommands of ``catkinreach``, one module each."""

from __future__ import annotations
