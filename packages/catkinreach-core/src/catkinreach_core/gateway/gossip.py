"""What a node tells its peers, a few times a second, as one datagram."""

from __future__ import annotations

from enum import Enum

import msgspec
from msgspec import Struct, field

from ..ids import ServiceId, UpstreamId, WorkspaceId
from .crash_suspects import Fingerprint
from .load_table import UpstreamLoad

MAX_GOSSIP_BYTES = 8_000
MAX_GOSSIP_MEMBERS = 12
"""Members that one message names; others follow in later messages."""


class Phase(Enum):
    """Where a node is in its life."""

    RUNNING = 'running'
    STOPPING = 'stopping'
    GONE = 'gone'


class GossipMessage(Struct, array_like=True, kw_only=True):
    """One message.

    Attributes:
        node: Address of the sender.
        phase: Where the sender is in its life.
        members: Some other nodes that the sender heard.
        loads: The sender's own work in flight, by upstream.
        admitted: Cost that the sender admitted in the window, by workspace;
            ``None`` in messages that only tell of a change of load.
        crashes: Breaks that the sender counted, by fingerprint.
        down: Upstreams that the sender could not reach.
        replaced: Start, in Unix milliseconds, of each upstream at whose
            address another one answered the sender.
        waiting: Memory that streams wait for at the sender, by service.
        holder: Node that the sender names as the one to give orders.
        switching: Seconds for which engines that change their stage are out.
    """

    node: str
    phase: Phase
    members: list[str] = field(default_factory=list)
    loads: dict[UpstreamId, UpstreamLoad] = field(default_factory=dict)
    admitted: dict[WorkspaceId, float] | None = None
    crashes: dict[Fingerprint, int] = field(default_factory=dict)
    down: list[UpstreamId] = field(default_factory=list)
    replaced: dict[UpstreamId, int] = field(default_factory=dict)
    waiting: dict[ServiceId, int] = field(default_factory=dict)
    holder: str = ''
    switching: dict[UpstreamId, float] = field(default_factory=dict)


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(GossipMessage)


def encode_gossip(digest: GossipMessage) -> bytes:
    """Returns a message as msgpack."""
    return _ENCODER.encode(digest)


def decode_gossip(data: bytes) -> GossipMessage | None:
    """Returns a message, or ``None`` if the bytes are none."""
    try:
        return _DECODER.decode(data)
    except msgspec.DecodeError:
        return None


__all__ = (
    'MAX_GOSSIP_BYTES',
    'MAX_GOSSIP_MEMBERS',
    'GossipMessage',
    'Phase',
    'decode_gossip',
    'encode_gossip',
)
