"""Membership of the fleet, from the gossip messages of other nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .aggregation import heartbeat_period_s, uses_aggregators

if TYPE_CHECKING:
    from collections.abc import Iterable

SILENT_AFTER_S = 1.5
"""Time without a message after which a member counts as silent."""

PEAK_WINDOW_S = 60.0
"""Time for which shared limits use the largest number of members seen."""

MAX_NODES_AT_BASE_INTERVAL = 24
"""Largest fleet whose nodes send messages at the base interval."""

MAX_SILENCE_FACTOR = 2.0
"""Largest factor on ``SILENT_AFTER_S`` in larger fleets."""

SILENT_AFTER_PERIODS = 1.7
"""The same in a fleet with aggregators, in heartbeat periods: one heartbeat may
be lost."""

FORGET_AFTER_S = 15.0
"""Time without a message after which a member is removed."""


FULL_MESSAGE_INTERVAL_S = 0.3
"""Interval of full messages in a small fleet."""

MAX_INTERVAL_FACTOR = 3.0
"""Largest factor on the interval in fleets without aggregators."""


def full_message_interval_s(members: int) -> float:
    """Returns the time between two full messages of a node to a peer."""
    if uses_aggregators(members):
        return heartbeat_period_s(members)
    factor = max(1.0, members / MAX_NODES_AT_BASE_INTERVAL)
    return FULL_MESSAGE_INTERVAL_S * min(MAX_INTERVAL_FACTOR, factor)


class Members:
    """Nodes by address; a member sent a message within ``FORGET_AFTER_S``."""

    def __init__(self, own_address: str, seeds: Iterable[str]) -> None:
        """Starts with the seeds, none of which is a member yet."""
        self._own_address = own_address
        self._seeds = frozenset(seeds) - {own_address}
        self._received_at_s: dict[str, float] = {}
        self._reported: set[str] = set()
        self._known_to_peers: dict[str, int] = {}
        self._peak = 1
        self._peak_at_s = 0.0

    @property
    def contacts(self) -> tuple[str, ...]:
        """Returns all nodes that this node sends messages to."""
        known = self._seeds | self._received_at_s.keys() | self._reported
        return tuple(sorted(known - {self._own_address}))

    @property
    def count(self) -> int:
        """Returns the number of members, this node included."""
        return 1 + len(self._received_at_s)

    @property
    def unheard_count(self) -> int:
        """Returns the number of nodes known only from settings or peers.

        Peers that have heard more of the fleet tell how large it is.
        """
        known = max(self._known_to_peers.values(), default=0)
        return max(1 + len(self.contacts), known) - self.count

    @property
    def share_count(self) -> int:
        """Returns the number of nodes that a shared limit is divided by.

        Nodes that were members within the last minute count, and so do those
        in the settings: in a partition each side stays within its part.
        """
        return max(self.count, self.configured_count, self._peak)

    @property
    def silent_after_s(self) -> float:
        """Returns the time without a message after which a member is silent.

        It is longer in large fleets, whose nodes send fewer messages.
        """
        if uses_aggregators(self.count):
            return SILENT_AFTER_PERIODS * heartbeat_period_s(self.count)
        factor = max(1.0, self.count / MAX_NODES_AT_BASE_INTERVAL)
        return SILENT_AFTER_S * min(MAX_SILENCE_FACTOR, factor)

    @property
    def configured_count(self) -> int:
        """Returns the number of nodes in the settings, with this one."""
        return 1 + len(self._seeds)

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Replaces the seeds."""
        self._seeds = frozenset(seeds) - {self._own_address}

    def record_message(
        self,
        node: str,
        others: Iterable[str],
        now_s: float,
        *,
        known_nodes: int = 0,
    ) -> bool:
        """Records a message; returns whether its sender was silent or new.

        Args:
            node: Sender of the message.
            others: Nodes that it reports.
            now_s: Monotonic clock.
            known_nodes: Number of nodes that it has heard.
        """
        self._known_to_peers[node] = known_nodes
        last_s = self._received_at_s.get(node)
        self._received_at_s[node] = now_s
        self._update_peak(now_s)
        self._reported.update(others)
        self._reported.discard(self._own_address)
        return last_s is None or now_s - last_s > self.silent_after_s

    def _update_peak(self, now_s: float) -> None:
        """Tracks the largest number of members within the last minute."""
        if self.count >= self._peak or now_s - self._peak_at_s > PEAK_WINDOW_S:
            self._peak = self.count
            self._peak_at_s = now_s

    def remove(self, node: str) -> None:
        """Removes a node that reported that it stops."""
        self._received_at_s.pop(node, None)
        self._known_to_peers.pop(node, None)
        self._reported.discard(node)

    def responsive(self, now_s: float) -> tuple[str, ...]:
        """Returns the members that are not silent."""
        return tuple(
            node
            for node, at_s in self._received_at_s.items()
            if now_s - at_s <= self.silent_after_s
        )

    def silent_count(self, now_s: float) -> int:
        """Returns the number of silent members."""
        return len(self._received_at_s) - len(self.responsive(now_s))

    def expire(self, now_s: float) -> tuple[str, ...]:
        """Removes members after ``FORGET_AFTER_S`` of silence; returns them."""
        expired = tuple(
            node
            for node, at_s in self._received_at_s.items()
            if now_s - at_s > FORGET_AFTER_S
        )
        for node in expired:
            self.remove(node)
        return expired


__all__ = (
    'FORGET_AFTER_S',
    'FULL_MESSAGE_INTERVAL_S',
    'SILENT_AFTER_S',
    'Members',
    'full_message_interval_s',
)
