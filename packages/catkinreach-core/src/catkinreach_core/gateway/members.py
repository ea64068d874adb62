"""Which other nodes there are, and which were heard lately."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

SILENT_AFTER_S = 1.5
"""Silence after which a member no longer counts as heard."""

KEEP_MOST_S = 60.0
"""Time for which the largest number of members counts for shares."""

SMALL_FLEET = 24
"""Members up to which messages come at the usual pace."""

MOST_SILENCE_FACTOR = 2.0

FORGET_AFTER_S = 15.0
"""Silence after which a member no longer counts as a member."""


class Members:
    """Nodes by address; a member is a node that was heard lately."""

    def __init__(self, own: str, seeds: Iterable[str]) -> None:
        """Starts with the seeds, none of them heard."""
        self._own = own
        self._seeds = frozenset(seeds) - {own}
        self._heard_at_s: dict[str, float] = {}
        self._told: set[str] = set()
        self._most = 1
        self._most_at_s = 0.0

    @property
    def contacts(self) -> tuple[str, ...]:
        """Returns all nodes that are told of this one."""
        known = self._seeds | self._heard_at_s.keys() | self._told
        return tuple(sorted(known - {self._own}))

    @property
    def count(self) -> int:
        """Returns the number of members, this node included."""
        return 1 + len(self._heard_at_s)

    @property
    def share_count(self) -> int:
        """Returns the nodes that a bound over all nodes is shared by.

        Nodes that were members within a minute count, and those that the
        settings name: in a partition each side keeps to its part.
        """
        return max(self.count, self.configured_count, self._most)

    @property
    def silent_after_s(self) -> float:
        """Returns the silence allowed; large fleets tell each other less."""
        factor = max(1.0, self.count / SMALL_FLEET)
        return SILENT_AFTER_S * min(MOST_SILENCE_FACTOR, factor)

    @property
    def configured_count(self) -> int:
        """Returns the number of nodes that the settings name, with this one."""
        return 1 + len(self._seeds)

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Replaces the seeds."""
        self._seeds = frozenset(seeds) - {self._own}

    def note_message(
        self, node: str, others: Iterable[str], now_s: float
    ) -> bool:
        """Takes a message of a node; True if it wasn't heard lately."""
        last_s = self._heard_at_s.get(node)
        self._heard_at_s[node] = now_s
        self._note_count(now_s)
        self._told.update(others)
        self._told.discard(self._own)
        return last_s is None or now_s - last_s > self.silent_after_s

    def _note_count(self, now_s: float) -> None:
        """Keeps the largest number of members of the last minute."""
        if self.count >= self._most or now_s - self._most_at_s > KEEP_MOST_S:
            self._most = self.count
            self._most_at_s = now_s

    def remove(self, node: str) -> None:
        """Takes that a node says that it stops."""
        self._heard_at_s.pop(node, None)
        self._told.discard(node)

    def responsive(self, now_s: float) -> tuple[str, ...]:
        """Returns the members that were heard lately."""
        return tuple(
            node
            for node, at_s in self._heard_at_s.items()
            if now_s - at_s <= self.silent_after_s
        )

    def silent_count(self, now_s: float) -> int:
        """Returns the number of members that were not heard lately."""
        return len(self._heard_at_s) - len(self.responsive(now_s))

    def expire(self, now_s: float) -> tuple[str, ...]:
        """Drops and returns members that have been silent for long."""
        gone = tuple(
            node
            for node, at_s in self._heard_at_s.items()
            if now_s - at_s > FORGET_AFTER_S
        )
        for node in gone:
            self.remove(node)
        return gone


__all__ = ('FORGET_AFTER_S', 'SILENT_AFTER_S', 'Members')
