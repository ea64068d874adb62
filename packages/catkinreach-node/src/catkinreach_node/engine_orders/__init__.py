"""Part: keeps the engines of owned cells as the settings want them."""

from __future__ import annotations
