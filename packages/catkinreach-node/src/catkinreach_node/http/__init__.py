"""HTTP/1.1 on both sides, parsed by h11."""

from __future__ import annotations
