"""TLS for the listening addresses and for connections to peers."""

from __future__ import annotations
