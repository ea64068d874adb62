"""Rate limits of workspaces, enforced over all nodes together."""

from __future__ import annotations
