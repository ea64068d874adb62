"""The node's part in the limits of workspaces."""

from __future__ import annotations
