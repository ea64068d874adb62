"""How many connections a process bears, and which one makes room for another.

Load pattern: crowds of clients open connections and stop half-way, send a byte
now and then, or don't read their answers, while ordinary clients come and go.
A bound on connections alone keeps the ordinary clients out; without one the
process runs out of memory or descriptors.

A new client takes the place of the connection that holds most for the least
progress: first of one that has been stalled for some time, by what it holds and
how long, then of the one that has been idle for longest. A connection whose
request is being answered, and that reads the answer, keeps its place.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, TypeVar

from msgspec import Struct

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_CONNECTIONS = 2000
"""Largest number of connections, whatever memory and descriptors there are."""

MIN_CONNECTIONS = 16

BASE_MEMORY_BYTES = 40_000_000
"""Memory of a process without connections."""

CONNECTION_BYTES = 64_000
"""Memory of a connection whose request is being answered, with what the client
has sent beyond it."""

BASE_DESCRIPTORS = 144
"""Descriptors for all but the clients' connections and what is sent on for
them."""

DESCRIPTORS_PER_CONNECTION = 2.25
"""Each may have one to an upstream; some more are being refused."""

STALLED_AFTER_S = 2.0
"""Time without an end of what the client sends or reads after which its place
is given to another."""


class Waiting(Enum):
    """What a connection waits for."""

    ANSWER = 'answer'
    CLIENT = 'client'
    NEXT_REQUEST = 'next request'


class ConnectionState(Struct, frozen=True, kw_only=True):
    """What a connection holds, and since when.

    Attributes:
        waiting: What it waits for.
        since_s: Monotonic time since which it has waited: for the end of a
            request that has begun, or for an answer to be read.
        held_bytes: Memory that the client's data takes.
    """

    waiting: Waiting
    since_s: float
    held_bytes: int = 0


class ProcessLimits(Struct, frozen=True, kw_only=True):
    """What a process may use; 0 where it isn't known.

    Attributes:
        memory_bytes: Memory of the process.
        body_bytes: Part of it for the bodies of requests.
        descriptors: Open descriptors.
    """

    memory_bytes: int = 0
    body_bytes: int = 0
    descriptors: int = 0

    @property
    def max_connections(self) -> int:
        """Returns the number of connections that the process bears."""
        bounds = [MAX_CONNECTIONS]
        if self.memory_bytes:
            free_bytes = self.memory_bytes - BASE_MEMORY_BYTES - self.body_bytes
            bounds.append(free_bytes // CONNECTION_BYTES)
        if self.descriptors:
            free = self.descriptors - BASE_DESCRIPTORS
            bounds.append(int(free / DESCRIPTORS_PER_CONNECTION))
        return max(MIN_CONNECTIONS, min(bounds))


_Key = TypeVar('_Key')


def choose_replaced(
    connections: Iterable[tuple[_Key, ConnectionState]], now_s: float
) -> _Key | None:
    """Returns the connection that makes room; ``None`` if all are in use."""
    ranked = [
        (_rank(state, now_s), key)
        for key, state in connections
        if _is_replaceable(state, now_s)
    ]
    return max(ranked, key=lambda one: one[0])[1] if ranked else None


def _is_replaceable(state: ConnectionState, now_s: float) -> bool:
    if state.waiting is Waiting.CLIENT:
        return now_s - state.since_s >= STALLED_AFTER_S
    return state.waiting is Waiting.NEXT_REQUEST


def _rank(state: ConnectionState, now_s: float) -> tuple[bool, float]:
    """Returns a rank; the greatest one makes room."""
    waited_s = now_s - state.since_s
    is_stalled = state.waiting is Waiting.CLIENT
    weight = 1 + state.held_bytes if is_stalled else 1
    return is_stalled, weight * waited_s


__all__ = (
    'MAX_CONNECTIONS',
    'STALLED_AFTER_S',
    'ConnectionState',
    'ProcessLimits',
    'Waiting',
    'choose_replaced',
)
