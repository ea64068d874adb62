"""Decides together which stopping VMs still take new connections.

Load pattern: planned stops of many VMs within a few seconds. Balancers send
callers to VMs that aren't ready once less than half of the VMs are, so each VM
that stops listening then costs callers a try, and if all do, there is no
service until the first one is back.

All VMs order the stopping ones alike: by the announced end of their process,
then by address. A VM stops listening once those that run, or end later than
itself, are half of the fleet and half of its failure domain. So the first ones
are back before the last ones leave. No rule depends on it: a VM that hears
nothing of its peers listens until its time is over.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from ..ids import FailureDomainId

REMEMBER_S = 60.0
"""Time for which a VM that left counts as a part of the fleet."""


@dataclass(frozen=True, slots=True)
class VmReport:
    """What a VM reported of itself.

    Attributes:
        domain: Its failure domain.
        ends_unix_ms: Announced end of its process by its own clock; 0 while
            it isn't stopping.
        stopping_since_s: Time of the first report of the stop; infinite
            before.
        heard_s: Time of the report.
    """

    domain: FailureDomainId
    ends_unix_ms: int
    stopping_since_s: float
    heard_s: float


class Departures:
    """The VMs that run, stop, or left a short time ago."""

    def __init__(self, host: str, domain: FailureDomainId) -> None:
        """Knows this VM only."""
        self._host = host
        self._domain = domain
        self._reports: dict[str, VmReport] = {}

    def record(
        self,
        peer: str,
        domain: FailureDomainId,
        ends_unix_ms: int,
        now_s: float,
    ) -> None:
        """Records what a peer reported.

        Args:
            peer: Address of the peer.
            domain: Its failure domain; empty if it is as it was.
            ends_unix_ms: Announced end of its process; 0 if there is none.
            now_s: Time of this VM's clock.
        """
        earlier = self._reports.get(peer)
        if not domain and earlier is not None:
            domain = earlier.domain
        if domain:
            self._reports[peer] = VmReport(
                domain,
                ends_unix_ms,
                _stopping_since_s(earlier, ends_unix_ms, now_s),
                now_s,
            )

    def in_domain(self, domain: FailureDomainId) -> frozenset[str]:
        """Returns the peers in a failure domain."""
        return frozenset(
            peer
            for peer, report in self._reports.items()
            if report.domain == domain
        )

    def expire(self, now_s: float) -> None:
        """Drops reports of peers that left, or fell silent, long ago."""
        self._reports = {
            peer: report
            for peer, report in self._reports.items()
            if now_s - report.heard_s <= REMEMBER_S
        }

    def serves_elsewhere(
        self, responsive: Collection[str], stopping_after_s: float
    ) -> bool:
        """Returns whether a refused caller will likely be served by a peer.

        A peer must run, whom balancers prefer, or half of the fleet must have
        begun to stop only lately.

        Args:
            responsive: Peers that aren't silent.
            stopping_after_s: Time after which their stop must have begun.
        """
        began_s = [
            report.stopping_since_s
            for peer, report in self._reports.items()
            if peer in responsive
        ]
        serving = sum(at_s > stopping_after_s for at_s in began_s)
        return math.inf in began_s or (
            serving > 0 and _is_half(serving, len(self._reports))
        )

    def is_needed(self, ends_unix_ms: int, responsive: Collection[str]) -> bool:
        """Returns whether this VM, which stops, must take new connections.

        Args:
            ends_unix_ms: Announced end of this VM's process.
            responsive: Peers that aren't silent.
        """
        own_place = (ends_unix_ms, self._host)
        return not self._are_enough(
            peer
            for peer, report in self._reports.items()
            if peer in responsive
            and (
                not report.ends_unix_ms
                or (report.ends_unix_ms, peer) > own_place
            )
        )

    def _are_enough(self, peers: Iterable[str]) -> bool:
        """Returns whether these are half of the fleet and of the domain.

        Callers of a domain without any of them are sent to other domains.
        """
        remaining = [self._reports[peer].domain for peer in peers]
        known = [report.domain for report in self._reports.values()]
        in_domain = remaining.count(self._domain)
        return _is_half(len(remaining), len(known)) and (
            not in_domain or _is_half(in_domain, known.count(self._domain))
        )


def _stopping_since_s(
    earlier: VmReport | None, ends_unix_ms: int, now_s: float
) -> float:
    if not ends_unix_ms:
        return math.inf
    if earlier is None or earlier.ends_unix_ms != ends_unix_ms:
        return now_s
    return earlier.stopping_since_s


def _is_half(remaining: int, known_peers: int) -> bool:
    """Returns whether the remaining VMs are half of the peers and this VM.

    A VM without peers has nobody to wait for.
    """
    return not known_peers or 2 * remaining >= known_peers + 1


__all__ = ('REMEMBER_S', 'Departures')
