"""The datagram that each node sends to its peers a few times a second."""

from __future__ import annotations

from enum import Enum

import msgspec
from msgspec import Struct, field

from ..ids import ServiceId, UpstreamId, WorkspaceId
from .crash_suspects import Fingerprint
from .load_table import UpstreamLoad

MAX_GOSSIP_BYTES = 8_000
MAX_GOSSIP_MEMBERS = 12
"""Members listed in one message; later messages list the others."""


class Phase(Enum):
    """Lifecycle state of a node."""

    RUNNING = 'running'
    STOPPING = 'stopping'
    LEFT = 'gone'


class GossipMessage(Struct, array_like=True, kw_only=True):
    """State that one node reports to its peers.

    Attributes:
        node: Address of the sender.
        phase: Lifecycle state of the sender.
        members: Random sample of the sender's responsive peers.
        loads: The sender's own work in flight, by upstream.
        admitted: Cost that the sender admitted in the window, by workspace;
            ``None`` in messages that only report a change of load.
        crashes: Crashes that the sender counted, by fingerprint.
        down: Upstreams that don't accept the sender's connections.
        replaced: Start, in Unix milliseconds, of each upstream at whose
            address another upstream answered the sender.
        waiting: Memory, in tokens, that the sender's queued streams need,
            by service.
        holder: Node that the sender votes for as the leader, which sends
            orders to engines.
        switching: Remaining downtime, in seconds, of engines that change
            their stage.
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


def encode_gossip(message: GossipMessage) -> bytes:
    """Encodes a message as msgpack."""
    return _ENCODER.encode(message)


def decode_gossip(data: bytes) -> GossipMessage | None:
    """Decodes a message; ``None`` if the bytes are malformed."""
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
