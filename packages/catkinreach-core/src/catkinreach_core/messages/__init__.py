"""Typed messages between the nodes.

Every message is a frozen structure with a unique tag; the codec refuses
anything else.
"""

from __future__ import annotations
