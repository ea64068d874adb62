"""Requests that crash the upstreams that run them.

Load pattern: one caller sends the same request again and again, and each
upstream that begins to run it goes down.

A request is known by a fingerprint of its caller, path and body. Each break
of a connection while it ran counts as one crash, here and at the peers.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import NewType

Fingerprint = NewType('Fingerprint', str)

CRASHES_TO_REFUSE = 3
MAX_SUSPECTS = 2_000
MAX_TOLD = 16
"""Most suspects that one message to the peers holds."""

TELL_S = 20.0
"""Time for which a crash is told to the peers."""


class CrashSuspects:
    """Breaks by fingerprint, this node's and those that peers told."""

    def __init__(self) -> None:
        """Starts without suspects."""
        self._own: OrderedDict[Fingerprint, tuple[int, float]] = OrderedDict()
        self._heard: dict[str, dict[Fingerprint, int]] = {}

    def note_crash(self, fingerprint: Fingerprint, now_s: float) -> int:
        """Counts a break while the request ran; returns the total."""
        count, _ = self._own.get(fingerprint, (0, 0.0))
        self._own[fingerprint] = (count + 1, now_s)
        self._own.move_to_end(fingerprint)
        while len(self._own) > MAX_SUSPECTS:
            self._own.popitem(last=False)
        return self.crashes(fingerprint)

    def clear(self, fingerprint: Fingerprint) -> None:
        """Clears a request that ran to its end."""
        self._own.pop(fingerprint, None)

    def set_peer_counts(self, peer: str, told: dict[Fingerprint, int]) -> None:
        """Takes what a peer counted; its last word replaces the earlier."""
        self._heard[peer] = told

    def forget_peer(self, peer: str) -> None:
        """Drops what a peer that is gone had counted."""
        self._heard.pop(peer, None)

    def crashes(self, fingerprint: Fingerprint) -> int:
        """Returns the breaks that all nodes counted."""
        own, _ = self._own.get(fingerprint, (0, 0.0))
        return own + sum(
            told.get(fingerprint, 0) for told in self._heard.values()
        )

    def is_refused(self, fingerprint: Fingerprint) -> bool:
        """Tells whether a request must not run again."""
        return self.crashes(fingerprint) >= CRASHES_TO_REFUSE

    def recent_counts(self, now_s: float) -> dict[Fingerprint, int]:
        """Returns this node's recent counts, the newest ones first."""
        recent = [
            (fingerprint, count)
            for fingerprint, (count, at_s) in reversed(self._own.items())
            if now_s - at_s < TELL_S
        ]
        return dict(recent[:MAX_TOLD])


__all__ = (
    'CRASHES_TO_REFUSE',
    'CrashSuspects',
    'Fingerprint',
)
