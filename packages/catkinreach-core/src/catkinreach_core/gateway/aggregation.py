"""Which VMs collect the loads of a large fleet, and who hears heartbeats.

Load pattern: hundreds of VMs place a stream now and then, while the loads of
all of them change hundreds of times a second. Telling each change to every VM
costs changes times VMs, and almost none of it is used.

In a fleet above ``MAX_BROADCAST_NODES`` each VM tells its changes to a few
aggregators, which all VMs choose alike by rendezvous hashing, and asks one of
them for the loads of the others before it places a request. A VM that gets no
answer decides with what it knows. So no rule depends on an aggregator, and the
messages for a request don't grow with the number of VMs.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ..ids import ShardId
from .ranked_hosts import RankedHosts

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

MAX_BROADCAST_NODES = 100
"""Largest fleet whose nodes tell each change of load to all others."""

AGGREGATORS = 3
"""Aggregators of a fleet; two of them may be lost at once."""

HEARTBEAT_INTERVAL_S = 0.5
"""Interval of full messages in a fleet with aggregators."""

HEARTBEAT_RECIPIENTS = 24
"""Peers, besides the aggregators, that get each full message."""

SUSPECT_S = 1.0
"""Time for which an aggregator that didn't answer isn't asked."""

_SHARD = ShardId('loads')


def uses_aggregators(members: int) -> bool:
    """Returns whether a fleet of this size has aggregators."""
    return members > MAX_BROADCAST_NODES


def heartbeat_period_s(members: int) -> float:
    """Returns the time in which every peer gets one full message."""
    rounds = math.ceil((members - 1) / HEARTBEAT_RECIPIENTS)
    return rounds * HEARTBEAT_INTERVAL_S


class HeartbeatRotation:
    """Gives each peer its turn to get a full message."""

    def __init__(self) -> None:
        """Starts with the first peer."""
        self._last = ''

    def next_recipients(self, contacts: Sequence[str]) -> tuple[str, ...]:
        """Returns the next peers, in the order of their addresses.

        Args:
            contacts: Sorted addresses of all peers.
        """
        after = [host for host in contacts if host > self._last]
        count = min(HEARTBEAT_RECIPIENTS, len(contacts))
        chosen = (*after, *contacts)[:count]
        self._last = chosen[-1] if chosen else ''
        return tuple(chosen)


class AggregatorChoice:
    """The aggregators of one VM's view, without those that don't answer."""

    def __init__(self) -> None:
        """Starts without aggregators."""
        self._ranked = RankedHosts(_SHARD, AGGREGATORS)
        self._suspect_until_s: dict[str, float] = {}

    @property
    def hosts(self) -> tuple[str, ...]:
        """Returns the aggregators, the most preferred first."""
        return self._ranked.hosts

    def update(self, hosts: Iterable[str]) -> None:
        """Chooses the aggregators among the responsive VMs, itself included."""
        self._ranked.update(hosts)

    def usable(self, now_s: float) -> list[str]:
        """Returns the aggregators that may be asked."""
        return [
            host
            for host in self.hosts
            if now_s >= self._suspect_until_s.get(host, 0.0)
        ]

    def suspect(self, host: str, now_s: float) -> None:
        """Records that an aggregator didn't answer."""
        self._suspect_until_s[host] = now_s + SUSPECT_S


__all__ = (
    'AGGREGATORS',
    'HEARTBEAT_INTERVAL_S',
    'MAX_BROADCAST_NODES',
    'AggregatorChoice',
    'HeartbeatRotation',
    'heartbeat_period_s',
    'uses_aggregators',
)
