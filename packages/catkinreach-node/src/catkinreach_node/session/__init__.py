"""The stages that a caller's request passes, in their order."""

from __future__ import annotations
