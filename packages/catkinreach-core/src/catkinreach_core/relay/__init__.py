"""How the published configuration reaches every node."""

from __future__ import annotations
