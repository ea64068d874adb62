"""Streams of several priorities that wait at many nodes for memory.

Load pattern: for some seconds streams come at 1.6 times the rate at which
memory becomes free, at 20 nodes, three in ten of them of the highest priority.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter

import pytest

from catkinreach_core.gateway.catalog import (
    Route,
    RouteKind,
    ServiceShare,
    find_prioritized_services,
)
from catkinreach_core.gateway.fleet_priority import (
    LATE_RANK,
    leaves_room,
    more_urgent_tokens,
    sum_ranks,
)
from catkinreach_core.gateway.wait_queue import (
    QueueDecision,
    QueuedStream,
    WaitQueue,
)
from catkinreach_core.ids import RouteId, ServiceId

NODES = 20
ENGINES = 8
SLOTS = 8
"""Streams whose memory fits into one engine at once."""
TOKENS = 5600
RESIDENCE_S = 3.0
"""Mean time for which a stream holds its memory."""
FREE_PER_S = ENGINES * SLOTS / RESIDENCE_S
TARGETS_S = (0.8, 1.0, 2.0)
"""Latency targets, by priority."""
SHARES = (0.3, 0.2, 0.5)
USEFUL_S = 3.0
TOLD_WITHIN_S = 0.03
STEP_S = 0.01
SERVICE = ServiceId('model')


class Fleet:
    """Nodes that place streams on engines with shared memory."""

    def __init__(self, *, is_told: bool, seed: int) -> None:
        """Starts with idle engines.

        Args:
            is_told: Whether nodes tell each other what waits.
            seed: Seed of the arrivals.
        """
        self._is_told = is_told
        self._rng = random.Random(seed)
        self._queues = [WaitQueue() for _ in range(NODES)]
        self._waiting: list[list[QueuedStream]] = [[] for _ in range(NODES)]
        self._told: list[dict[int, int]] = [{} for _ in range(NODES)]
        self._ends: list[tuple[float, int]] = []
        self._running = [0] * ENGINES
        self.arrived: Counter[int] = Counter()
        self.on_time: Counter[int] = Counter()

    def run(self, overload: float, until_s: float) -> None:
        """Sends streams at a multiple of the rate that memory allows."""
        step, due_s = 0, 0.0
        while (now_s := step * STEP_S) < until_s + USEFUL_S:
            step += 1
            while due_s <= now_s and due_s < until_s:
                due_s += 1 / (FREE_PER_S * overload)
                self._arrive(now_s)
            self._end_streams(now_s)
            if step % int(TOLD_WITHIN_S / STEP_S) == 0:
                self._told = [
                    queue.tokens_by_rank(now_s) for queue in self._queues
                ]
            nodes = list(range(NODES))
            self._rng.shuffle(nodes)
            for node in nodes:
                self._poll(node, now_s)

    def _arrive(self, now_s: float) -> None:
        priority = self._rng.choices(range(3), weights=SHARES)[0]
        stream = QueuedStream(
            tokens=TOKENS,
            priority=priority,
            workspace_cost=0.0,
            arrived_s=now_s,
            on_time_until_s=now_s + TARGETS_S[priority] - 0.1,
            useful_until_s=now_s + USEFUL_S,
        )
        self.arrived[priority] += 1
        node = self._rng.randrange(NODES)
        self._queues[node].add(stream)
        self._waiting[node].append(stream)

    def _end_streams(self, now_s: float) -> None:
        while self._ends and self._ends[0][0] <= now_s:
            _, engine = heapq.heappop(self._ends)
            self._running[engine] -= 1

    def _poll(self, node: int, now_s: float) -> None:
        queue = self._queues[node]
        for stream in tuple(self._waiting[node]):
            if self._may_start(node, stream, now_s):
                self._start(stream, now_s)
            elif not self._is_refused(node, stream, now_s):
                continue
            self._waiting[node].remove(stream)
            queue.remove(stream)

    def _peer_ranks(self, node: int) -> dict[int, int]:
        if not self._is_told:
            return {}
        return sum_ranks(
            told for peer, told in enumerate(self._told) if peer != node
        )

    def _may_start(self, node: int, stream: QueuedStream, now_s: float) -> bool:
        if not self._queues[node].is_first(stream, now_s):
            return False
        free = [(SLOTS - running) * TOKENS for running in self._running]
        return max(free) >= TOKENS and leaves_room(
            free, TOKENS, self._peer_ranks(node), stream.fleet_rank(now_s)
        )

    def _start(self, stream: QueuedStream, now_s: float) -> None:
        engine = min(range(ENGINES), key=self._running.__getitem__)
        self._running[engine] += 1
        ends_s = now_s + RESIDENCE_S * self._rng.uniform(0.2, 1.8)
        heapq.heappush(self._ends, (ends_s, engine))
        self.on_time[stream.priority] += now_s <= stream.on_time_until_s

    def _is_refused(
        self, node: int, stream: QueuedStream, now_s: float
    ) -> bool:
        ranks = self._peer_ranks(node)
        rank = stream.fleet_rank(now_s)
        decision = self._queues[node].evaluate(
            stream,
            peer_tokens=ranks.get(rank, 0),
            release_per_s=FREE_PER_S * TOKENS,
            now_s=now_s,
            more_urgent_tokens=more_urgent_tokens(ranks, rank),
        )
        return decision is QueueDecision.REFUSE

    def share_on_time(self, priority: int) -> float:
        """Returns the share of streams that started in time."""
        return self.on_time[priority] / self.arrived[priority]


# Chance decided which node's streams got memory.
@pytest.mark.parametrize('seed', [1, 2, 3])
def test_most_urgent_streams_of_a_fleet_are_late_like_others(
    seed: int,
) -> None:
    fleet = Fleet(is_told=True, seed=seed)
    fleet.run(1.6, 20.0)
    assert fleet.share_on_time(0) > 0.95
    assert fleet.share_on_time(0) > fleet.share_on_time(2)


def test_least_urgent_streams_are_starved() -> None:
    fleet = Fleet(is_told=True, seed=1)
    fleet.run(1.6, 20.0)
    assert fleet.share_on_time(2) > 0.25


def test_memory_is_kept_free_while_nobody_urgent_waits() -> None:
    assert leaves_room([TOKENS], TOKENS, {LATE_RANK: TOKENS, 2: TOKENS}, 2)


def test_stream_takes_the_memory_that_an_urgent_one_waits_for() -> None:
    assert not leaves_room([TOKENS, 0], TOKENS, {0: TOKENS}, 1)
    assert not leaves_room([TOKENS, TOKENS - 1], TOKENS, {0: TOKENS}, 1)
    assert leaves_room([TOKENS, TOKENS], TOKENS, {0: TOKENS}, 1)


def _route(name: str, priority: int, kind: RouteKind) -> Route:
    return Route(
        route_id=RouteId(name),
        host='app.example',
        prefix=f'/{name}/',
        kind=kind,
        shares=(ServiceShare(SERVICE, 1.0),),
        timeout_s=3.0,
        target_s=1.0,
        gap_target_s=0.3,
        max_attempts=1,
        priority=priority,
        is_public=False,
        is_resumable=True,
    )


def test_services_with_one_priority_need_no_order() -> None:
    one = [
        _route('a', 1, RouteKind.STREAM),
        _route('b', 1, RouteKind.STREAM),
        _route('c', 2, RouteKind.IDEMPOTENT),
    ]
    assert not find_prioritized_services(one)
    several = [*one, _route('d', 0, RouteKind.STREAM)]
    assert find_prioritized_services(several) == {SERVICE}
