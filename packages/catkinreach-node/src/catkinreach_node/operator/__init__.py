"""The operators' address: liveness, readiness, status and drain."""

from __future__ import annotations
