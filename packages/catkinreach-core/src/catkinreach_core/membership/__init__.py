"""Failure detection among the VMs that run gateway nodes."""

from __future__ import annotations
