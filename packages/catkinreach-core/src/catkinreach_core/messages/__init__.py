"""Typed messages between nodes.

Every message type is a frozen structure with a unique wire tag. The codec
refuses frames with unknown tags or fields of the wrong type.
"""

from __future__ import annotations
