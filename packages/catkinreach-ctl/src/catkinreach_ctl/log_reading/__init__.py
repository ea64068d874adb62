"""Reads the logs of front processes and explains requests from them."""

from __future__ import annotations
