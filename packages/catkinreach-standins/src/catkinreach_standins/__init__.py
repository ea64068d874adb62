"""Stand-ins of external systems, for tests, benches and the demo."""

from __future__ import annotations
