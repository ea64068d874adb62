"""Runs deployments of real processes on loopback, for tests and demos."""

from __future__ import annotations
