"""What the nodes know of each other, and who owns what."""

from __future__ import annotations
