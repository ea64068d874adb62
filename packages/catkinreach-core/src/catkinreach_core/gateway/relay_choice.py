"""Chooses peers that pass requests on for a VM that reaches no upstream.

Load pattern: most VMs of a failure domain, or all of them, are cut off from the
upstreams, so that few peers carry the requests of many VMs.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

MAX_RELAYS = 4
"""Peers that are tried for one request."""

AVOID_S = 1.0
"""Time for which a peer that couldn't pass a request on isn't chosen."""


class RelayChoice:
    """The peers that couldn't pass requests on lately."""

    def __init__(self, draw: Callable[[], float]) -> None:
        """Avoids no peer.

        Args:
            draw: Returns a random number from 0 to 1.
        """
        self._draw = draw
        self._avoided_until_s: dict[str, float] = {}

    def avoid(self, peer: str, now_s: float) -> None:
        """Records a peer that couldn't pass a request on."""
        self._avoided_until_s[peer] = now_s + AVOID_S

    def order(
        self,
        peers: Iterable[str],
        nearby: Collection[str],
        now_s: float,
    ) -> list[str]:
        """Returns the peers to try, in random order, nearby ones first.

        Args:
            peers: Peers that respond and are neither stopping nor cut off, as
                far as this VM has heard.
            nearby: Peers in its own failure domain.
            now_s: Monotonic clock.
        """
        self._avoided_until_s = {
            peer: until_s
            for peer, until_s in self._avoided_until_s.items()
            if now_s < until_s
        }
        usable = (peer for peer in peers if peer not in self._avoided_until_s)
        ranked = sorted(
            (peer not in nearby, self._draw(), peer) for peer in usable
        )
        return [peer for _, _, peer in ranked[:MAX_RELAYS]]


__all__ = ('AVOID_S', 'MAX_RELAYS', 'RelayChoice')
