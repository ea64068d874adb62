"""Which entry VMs are alive."""

from __future__ import annotations
