"""Order by priority of the streams that wait at many nodes.

Load pattern: a service runs streams of several priorities, and for some seconds
the memory of its engines is full. Each node orders its own queue only, so that
chance decides whose stream takes memory that becomes free, and the most urgent
streams are refused as often as the others.

Each node tells how much memory its waiting streams need, by rank. A stream
leaves the memory free that more urgent ones at other nodes wait for, and counts
them as ahead of it. It takes the memory again as soon as none waits. Streams
that are late for their latency target rank last, so that nothing is kept free
for them. No node decides for others: what is unheard is only not left free.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated

from msgspec import Meta

from .datagram_ranges import Tokens

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

MOST_URGENT = 0

LEAST_URGENT = 99
"""Greatest rank by priority; what is beyond it counts as this."""

LATE_RANK = LEAST_URGENT + 1
"""Rank of streams that can no longer meet their latency target."""

Rank = Annotated[int, Meta(ge=MOST_URGENT, le=LATE_RANK)]

RankedTokens = Annotated[dict[Rank, Tokens], Meta(max_length=LATE_RANK + 1)]
"""Memory that waiting streams need, in tokens, by rank."""


def sum_ranks(reports: Iterable[Mapping[int, int]]) -> dict[int, int]:
    """Returns the sum over the reports of several nodes."""
    total: dict[int, int] = {}
    for report in reports:
        for rank, tokens in report.items():
            total[rank] = total.get(rank, 0) + tokens
    return total


def more_urgent_tokens(waiting: Mapping[int, int], rank: int) -> int:
    """Returns the memory that more urgent streams wait for."""
    return sum(tokens for other, tokens in waiting.items() if other < rank)


def leaves_room(
    free: Iterable[int], need: int, waiting: Mapping[int, int], rank: int
) -> bool:
    """Returns whether a stream leaves room for all more urgent ones.

    Args:
        free: Free memory of each engine, in tokens.
        need: Memory that the stream needs.
        waiting: Memory that streams at other nodes wait for, by rank.
        rank: Rank of the stream.
    """
    urgent = more_urgent_tokens(waiting, rank)
    if not urgent:
        return True
    # What is left at an engine beside whole streams is of no use to any.
    usable = sum(tokens // need for tokens in free) * need
    return usable - need >= urgent


__all__ = (
    'LATE_RANK',
    'LEAST_URGENT',
    'MOST_URGENT',
    'RankedTokens',
    'leaves_room',
    'more_urgent_tokens',
    'sum_ranks',
)
