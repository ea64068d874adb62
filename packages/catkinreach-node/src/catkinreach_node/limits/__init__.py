"""Rate limits of workspaces on a node."""

from __future__ import annotations
