"""Policies that choose the upstreams of a request."""

from __future__ import annotations
