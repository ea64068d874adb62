"""Links, their faults, and the request bodies of the control address."""

from __future__ import annotations

from enum import Enum

import msgspec

ANY_SOURCE = ''
"""Source that matches all connections of a link."""


class Direction(Enum):
    """Direction of the bytes through a link."""

    UP = 'up'
    """From the client, which opened the connection, to the target."""

    DOWN = 'down'
    """From the target to the client."""


class DirectionFaults(msgspec.Struct, frozen=True, kw_only=True):
    """Persistent faults of a direction.

    Attributes:
        vanish: Bytes are read and dropped; the connection stays open. A
            connection that lost bytes is reset when the fault ends, because
            TCP never delivers a stream with a gap.
        stall: Bytes are held back and forwarded when the fault ends.
        delay_s: Delay of every chunk in seconds.
        jitter_s: Upper bound of an additional random delay, which is uniformly
            distributed and drawn with the seed of the proxy.
        bytes_per_s: Bandwidth of the direction; 0 for no limit.
    """

    vanish: bool = False
    stall: bool = False
    delay_s: float = 0.0
    jitter_s: float = 0.0
    bytes_per_s: float = 0.0


class LinkFaults(msgspec.Struct, frozen=True, kw_only=True):
    """Persistent faults of a link's connections.

    Attributes:
        cut: Open connections are reset, and so are new ones once accepted.
        up: Faults of the direction to the target.
        down: Faults of the direction from the target.
    """

    cut: bool = False
    up: DirectionFaults = DirectionFaults()
    down: DirectionFaults = DirectionFaults()

    def for_direction(self, direction: Direction) -> DirectionFaults:
        """Returns the faults of a direction."""
        return self.up if direction is Direction.UP else self.down


class OneTimeFault(Enum):
    """A fault that is applied once to the open connections."""

    RESET = 'reset'
    HALF_CLOSE_UP = 'half-close-up'
    HALF_CLOSE_DOWN = 'half-close-down'


class LinkPlan(msgspec.Struct, frozen=True, kw_only=True):
    """Configuration of a link.

    Attributes:
        name: Name in requests to the control address.
        port: Port on which the link listens.
        target: Address to which it forwards, as ``IP:port``.
        is_peer: Whether the first frame of a connection is a `Hello`, which
            names the source. Under TLS the source remains unknown.
    """

    name: str
    port: int
    target: str
    is_peer: bool = False


class SetFaultsRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Body of ``PUT /standin/faults``: persistent faults of a source."""

    link: str
    source: str = ANY_SOURCE
    faults: LinkFaults = LinkFaults()


class OneTimeFaultRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Body of ``POST /standin/act``: a one-time fault of a source."""

    link: str
    source: str = ANY_SOURCE
    act: OneTimeFault


class LinkRecord(msgspec.Struct, kw_only=True):
    """Counters of a link, from ``GET /standin/record``.

    Attributes:
        connections: Accepted connections.
        refused: Connections that were reset because the link was cut.
        resets: Connections that a fault reset.
        bytes_up: Bytes forwarded to the target.
        bytes_down: Bytes forwarded from the target.
        vanished_bytes: Dropped bytes of both directions.
        sources: Connections by their source, on links of peers.
    """

    connections: int = 0
    refused: int = 0
    resets: int = 0
    bytes_up: int = 0
    bytes_down: int = 0
    vanished_bytes: int = 0
    sources: dict[str, int] = msgspec.field(default_factory=dict)


__all__ = (
    'ANY_SOURCE',
    'Direction',
    'DirectionFaults',
    'LinkFaults',
    'LinkPlan',
    'LinkRecord',
    'OneTimeFault',
    'OneTimeFaultRequest',
    'SetFaultsRequest',
)
