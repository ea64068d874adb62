"""Tasks of an entry VM: sockets, timers and the core that decides."""

from __future__ import annotations
