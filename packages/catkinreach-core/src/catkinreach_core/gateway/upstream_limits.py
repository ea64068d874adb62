"""Limits that upstreams name: requests a second that they take from all VMs.

Load pattern: an upstream in need asks the whole fleet for less while every VM
sends to it, most of them too seldom to keep a fraction of a request.

A few VMs, which all VMs choose alike, divide the rate. The others leave the
upstream alone as long as these confirm the limit; so that requests that VMs
may send at any moment don't add up to more than the upstream bears.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from itertools import islice
from typing import TYPE_CHECKING, Annotated, Final, NamedTuple

from msgspec import Meta, Struct

from ..ids import ShardId
from .availability import Incarnation
from .datagram_ranges import AgeMs, UnixMs
from .ranked_hosts import RankedHosts
from .shared_rate import SharedRateLimiter

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ..ids import UpstreamId
    from .upstream import Upstream

MAX_LIMIT_PER_S: Final = 1e6
"""Greatest limit; a greater one is as good as none."""

MAX_LIMITED: Final = 4096
"""Incarnations whose limits are remembered; the oldest are forgotten."""

MAX_REPORTS: Final = 28
"""Upstreams that one message tells of."""

SENDERS_PER_RATE: Final = 2.0
MIN_SENDERS: Final = 3
"""With the value above: VMs that divide a rate; each may send one request at
any moment."""

MIN_PER_S: Final = 0.25
"""Rate at which an upstream is asked whether its limit still holds."""

UNCONFIRMED_S: Final = 8.0
"""Time without an answer to any VM, besides two requests at the rate, after
which the other VMs may ask the upstream in turn: those that divide the rate
have no requests for it."""

TURN_S: Final = 2.0
"""Time in which one of the other VMs may ask."""

LIFTED_TOLD_S: Final = 5.0
"""Time for which peers are told that a limit was lifted."""

MS_PER_S: Final = 1000

LimitPerS = Annotated[float, Meta(ge=0, le=MAX_LIMIT_PER_S)]


class LimitReport(Struct, array_like=True, frozen=True):
    """The newest that an upstream said to a node of its limit.

    A node doesn't pass on what peers reported: the time that each message takes
    would make it younger than it is.

    Attributes:
        started_ms: Start of the upstream's incarnation, in Unix milliseconds.
        per_s: Requests a second from all nodes; ``None`` once it is lifted.
        age_ms: Time since the upstream's answer that said so.
    """

    started_ms: UnixMs
    per_s: LimitPerS | None
    age_ms: AgeMs


class _Word(NamedTuple):
    """What an upstream said, and when; ``per_s`` is ``None`` for no limit."""

    per_s: float | None
    heard_at_s: float

    @property
    def rate_per_s(self) -> float:
        """Returns the rate at which a limited upstream gets requests."""
        return max(MIN_PER_S, self.per_s or 0.0)


class UpstreamLimits:
    """Limits of upstreams, and this node's part of them."""

    def __init__(
        self, own_host: str, random_level: Callable[[], float]
    ) -> None:
        """Starts without limits.

        Args:
            own_host: Address of this node.
            random_level: Returns random numbers from 0 to 1.
        """
        self._own_host = own_host
        self._words: OrderedDict[Incarnation, _Word] = OrderedDict()
        self._own_words: OrderedDict[Incarnation, _Word] = OrderedDict()
        self._rates = SharedRateLimiter(
            random_level, max_nodes_with_full_buckets=0
        )
        self._ranked: dict[UpstreamId, RankedHosts] = {}

    @property
    def has_words(self) -> bool:
        """Returns whether an upstream ever named a limit."""
        return bool(self._words)

    @property
    def limited_count(self) -> int:
        """Returns the number of upstreams with a limit."""
        return sum(word.per_s is not None for word in self._words.values())

    def record_answer(
        self, upstream: Upstream, per_s: float | None, now_s: float
    ) -> bool:
        """Records what an answer says; returns whether that is new.

        Args:
            upstream: Upstream that answered.
            per_s: Limit that it names; ``None`` for none.
            now_s: Monotonic clock.
        """
        word = _Word(per_s, now_s)
        incarnation = Incarnation.from_upstream(upstream)
        if per_s is not None or incarnation in self._words:
            _put(self._own_words, incarnation, word)
        return self._record(incarnation, word)

    def record_report(
        self, upstream: Upstream, report: LimitReport, now_s: float
    ) -> bool:
        """Records a peer's report; returns whether it is news.

        It has no effect if this node has heard a later answer.
        """
        if report.started_ms != upstream.started_ms:
            return False
        heard_at_s = now_s - report.age_ms / MS_PER_S
        incarnation = Incarnation.from_upstream(upstream)
        known = self._words.get(incarnation)
        if known is not None and known.heard_at_s >= heard_at_s:
            return False
        return self._record(incarnation, _Word(report.per_s, heard_at_s))

    def _record(self, incarnation: Incarnation, word: _Word) -> bool:
        known = self._words.get(incarnation)
        if known is None and word.per_s is None:
            return False
        _put(self._words, incarnation, word)
        return known is None or known.per_s != word.per_s

    def make_reports(
        self, upstreams: Iterable[Upstream], now_s: float
    ) -> dict[UpstreamId, LimitReport]:
        """Returns what a node tells its peers about some upstreams."""
        reports = (
            (upstream.upstream_id, report)
            for upstream in upstreams
            if (report := self._make_report(upstream, now_s)) is not None
        )
        return dict(islice(reports, MAX_REPORTS))

    def _make_report(
        self, upstream: Upstream, now_s: float
    ) -> LimitReport | None:
        word = self._own_words.get(Incarnation.from_upstream(upstream))
        if word is None:
            return None
        age_s = max(0.0, now_s - word.heard_at_s)
        if word.per_s is None and age_s > LIFTED_TOLD_S:
            return None
        return LimitReport(
            upstream.started_ms, word.per_s, math.ceil(age_s * MS_PER_S)
        )

    def allows_request(
        self,
        upstream: Upstream,
        hosts: Callable[[], tuple[str, ...]],
        now_s: float,
    ) -> bool:
        """Returns whether an upstream may get a request of this node now.

        Args:
            upstream: The upstream.
            hosts: Returns the responsive peers.
            now_s: Monotonic clock.
        """
        word = self._find_limit(upstream)
        if word is None:
            return True
        per_s = word.rate_per_s
        ranked = self._rank(upstream.upstream_id, hosts())
        count = min(len(ranked), _sender_count(per_s))
        unconfirmed_s = now_s - word.heard_at_s - UNCONFIRMED_S - 2 / per_s
        if not self._may_send(ranked, count, unconfirmed_s):
            return False
        return self._rates.allows_request(
            upstream.upstream_id, per_s, count, now_s
        )

    def check_wait_s(
        self,
        upstream: Upstream,
        hosts: Callable[[], tuple[str, ...]],
        now_s: float,
    ) -> float:
        """Returns the time until an upstream may get a check of this node.

        A check follows a request that was sent, so that it needs no turn of
        its own; it takes its place at the rate before later requests.

        Args:
            upstream: The upstream.
            hosts: Returns the responsive peers.
            now_s: Monotonic clock.
        """
        word = self._find_limit(upstream)
        if word is None:
            return 0.0
        per_s = word.rate_per_s
        count = min(len(hosts()) + 1, _sender_count(per_s))
        return self._rates.wait_s(upstream.upstream_id, per_s, count, now_s)

    def _find_limit(self, upstream: Upstream) -> _Word | None:
        """Returns the word of an upstream that has a limit."""
        if not self._words:
            return None
        word = self._words.get(Incarnation.from_upstream(upstream))
        return None if word is None or word.per_s is None else word

    def _may_send(
        self, ranked: tuple[str, ...], count: int, unconfirmed_s: float
    ) -> bool:
        """Returns whether this node may use its part of a rate.

        Args:
            ranked: The fleet, those that divide the rate first.
            count: Number of these.
            unconfirmed_s: Time for which the others have had turns to ask;
                negative while they have none.
        """
        senders, others = ranked[:count], ranked[count:]
        if self._own_host in senders:
            return True
        if unconfirmed_s < 0:
            return False
        turn = int(unconfirmed_s / TURN_S) % len(others)
        return others[turn] == self._own_host

    def spend(self, upstream_id: UpstreamId) -> None:
        """Counts a request that is about to be sent."""
        self._rates.spend(upstream_id)

    def wait_s(self, upstream: Upstream) -> float:
        """Returns the mean time between requests of the fleet; 0 for any."""
        word = self._find_limit(upstream)
        return 0.0 if word is None else 1 / word.rate_per_s

    def forget(self, upstream_id: UpstreamId) -> None:
        """Drops what was known of a removed or restarted upstream."""
        self._rates.forget(upstream_id)
        for words in (self._words, self._own_words):
            gone = [one for one in words if one.upstream_id == upstream_id]
            for incarnation in gone:
                del words[incarnation]
        self._ranked.pop(upstream_id, None)

    def _rank(
        self, upstream_id: UpstreamId, peers: tuple[str, ...]
    ) -> tuple[str, ...]:
        """Returns the fleet in the order of preference for an upstream."""
        ranked = self._ranked.get(upstream_id)
        if ranked is None:
            shard = ShardId(f'limit/{upstream_id}')
            ranked = self._ranked[upstream_id] = RankedHosts(shard)
        ranked.update((self._own_host, *peers))
        return ranked.hosts


def _sender_count(per_s: float) -> int:
    """Returns the most VMs that divide a rate."""
    return int(SENDERS_PER_RATE * per_s) + MIN_SENDERS


def _put(
    words: OrderedDict[Incarnation, _Word],
    incarnation: Incarnation,
    word: _Word,
) -> None:
    """Keeps a word; forgets the oldest where there are too many."""
    words[incarnation] = word
    if len(words) > MAX_LIMITED:
        words.popitem(last=False)


__all__ = (
    'MAX_LIMIT_PER_S',
    'LimitReport',
    'UpstreamLimits',
)
