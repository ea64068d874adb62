"""Faults that a link can have, as the control address takes them."""

from __future__ import annotations

from enum import Enum

import msgspec

ANY_SOURCE = ''
"""Source that stands for every connection of a link."""


class Direction(Enum):
    """Way of the bytes through a link."""

    UP = 'up'
    """From the side that opened the connection to the target."""

    DOWN = 'down'
    """From the target back."""


class DirectionFaults(msgspec.Struct, frozen=True, kw_only=True):
    """Lasting faults of one direction.

    Attributes:
        vanish: Bytes are read and dropped; the connection stays. A
            connection that lost bytes is reset when the fault ends, because
            TCP itself never leaves a gap.
        stall: Bytes are held back until the fault ends.
        delay_s: Delay of every chunk, in seconds.
        jitter_s: Largest further delay, drawn evenly by the proxy's seed.
        bytes_per_s: Rate of the direction; 0 for no bound.
    """

    vanish: bool = False
    stall: bool = False
    delay_s: float = 0.0
    jitter_s: float = 0.0
    bytes_per_s: float = 0.0


class LinkFaults(msgspec.Struct, frozen=True, kw_only=True):
    """Lasting faults of a link's connections.

    Attributes:
        cut: Open connections are reset, new ones refused.
        up: Faults towards the target.
        down: Faults away from the target.
    """

    cut: bool = False
    up: DirectionFaults = DirectionFaults()
    down: DirectionFaults = DirectionFaults()

    def of(self, direction: Direction) -> DirectionFaults:
        """Returns the faults of a direction."""
        return self.up if direction is Direction.UP else self.down


class OneTimeFault(Enum):
    """A fault that happens once to the connections that are open."""

    RESET = 'reset'
    HALF_CLOSE_UP = 'half-close-up'
    HALF_CLOSE_DOWN = 'half-close-down'


class LinkPlan(msgspec.Struct, frozen=True, kw_only=True):
    """One link.

    Attributes:
        name: Name on the control address.
        port: Port on loopback where it listens.
        target: Where it connects to, as ``IP:port``.
        is_peer: Whether the first frame of a connection is a `Hello`, which
            names the source. Peers under TLS can't be told apart.
    """

    name: str
    port: int
    target: str
    is_peer: bool = False


class SetFaultsRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Body of ``PUT /standin/faults``: the faults of a link and source."""

    link: str
    source: str = ANY_SOURCE
    faults: LinkFaults = LinkFaults()


class OneTimeFaultRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Body of ``POST /standin/act``."""

    link: str
    source: str = ANY_SOURCE
    act: OneTimeFault


class LinkRecord(msgspec.Struct, kw_only=True):
    """What passed a link so far; ``GET /standin/record``."""

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
