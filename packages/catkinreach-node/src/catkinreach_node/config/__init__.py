"""What the platform publishes, followed by one task for each text."""

from __future__ import annotations
