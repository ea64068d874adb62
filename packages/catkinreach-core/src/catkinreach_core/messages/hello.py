"""Messages of every peer connection: introduction and refusal."""

from __future__ import annotations

from ..ids import Incarnation, VmId
from .base import PeerMessage, wire_tag


@wire_tag('hello')
class Hello(PeerMessage, frozen=True, kw_only=True):
    """First message on a connection: identifies the node that opened it."""

    vm_id: VmId
    incarnation: Incarnation


@wire_tag('refusal')
class Refusal(PeerMessage, frozen=True, kw_only=True):
    """Reply of a node that refuses a call.

    Attributes:
        kind: Value of an ``ErrorKind``.
        detail: Sentence for the caller or operator.
    """

    kind: str
    detail: str = ''


__all__ = ('Hello', 'Refusal')
