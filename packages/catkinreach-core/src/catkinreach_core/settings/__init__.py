"""Settings: what they hold, how they are read and how they are checked."""

from __future__ import annotations
