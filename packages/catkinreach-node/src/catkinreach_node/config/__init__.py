"""Fleet settings and VM list: published texts and the accepted state."""

from __future__ import annotations
