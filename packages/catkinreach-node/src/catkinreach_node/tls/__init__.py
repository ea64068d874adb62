"""TLS of the listening addresses and of the connections to peers."""

from __future__ import annotations
