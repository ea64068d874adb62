"""Which upstreams a request runs on."""

from __future__ import annotations
