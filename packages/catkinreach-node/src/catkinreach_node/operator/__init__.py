"""Operator API: liveness, readiness, status, drain and a status page."""

from __future__ import annotations
