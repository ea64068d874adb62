"""A node that answers for itself: sockets and tasks around the decisions."""

from __future__ import annotations
