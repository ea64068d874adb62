"""Rate and burst of workspaces over all nodes together."""

from __future__ import annotations
