"""First message on a peer connection."""

from __future__ import annotations

from ..ids import Incarnation, VmId
from .base import PeerMessage, wire_tag


@wire_tag('hello')
class Hello(PeerMessage, frozen=True, kw_only=True):
    """Tells who opened the connection."""

    vm_id: VmId
    incarnation: Incarnation


@wire_tag('refusal')
class Refusal(PeerMessage, frozen=True, kw_only=True):
    """Reply of a node that can't answer a call; ``kind`` is an error kind."""

    kind: str
    detail: str = ''


__all__ = ('Hello', 'Refusal')
