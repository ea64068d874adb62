"""Queue and placement: the owner's side, the entry side and the polls."""

from __future__ import annotations
