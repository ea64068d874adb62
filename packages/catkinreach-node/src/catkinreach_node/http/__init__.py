"""HTTP/1.1 client and server on top of h11."""

from __future__ import annotations
