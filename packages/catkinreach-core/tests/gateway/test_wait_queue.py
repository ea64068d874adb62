"""Queue of streams that wait for memory.

Load pattern: a burst of 1.9 times the usual rate fills the memory of all
decode engines for five seconds, while streams end all the time.
"""

from __future__ import annotations

import heapq
import random

from catkinreach_core.gateway.wait_queue import (
    QueueDecision,
    QueuedStream,
    WaitQueue,
    next_poll_s,
)

TARGET_S = 0.9
CALLER_TIMEOUT_S = 3.0
"""Time after which callers have left."""

RELEASE_PER_S = 60_000.0
STREAM_TOKENS = 5600
RESIDENCE_S = 3.0
SLOTS = 32
"""Streams whose memory fits at once."""


def _queued_stream(
    at_s: float, *, workspace_cost: float = 0.0, has_progress: bool = False
) -> QueuedStream:
    return QueuedStream(
        tokens=STREAM_TOKENS,
        priority=1,
        workspace_cost=workspace_cost,
        arrived_s=at_s,
        on_time_until_s=at_s + TARGET_S - 0.2,
        useful_until_s=at_s + CALLER_TIMEOUT_S,
        has_progress=has_progress,
    )


def _evaluate(
    queue: WaitQueue, stream: QueuedStream, now_s: float
) -> QueueDecision:
    return queue.evaluate(
        stream, peer_tokens=0.0, release_per_s=RELEASE_PER_S, now_s=now_s
    )


def _replay(rate_at: list[tuple[float, float]], until_s: float) -> list[float]:
    """Replays arrivals at one node; returns wait times, -1 for a refusal."""
    queue = WaitQueue()
    running: list[float] = []
    waits: list[float] = []
    waiting: list[QueuedStream] = []
    now_s, due_s = 0.0, 0.0
    while now_s < until_s:
        now_s += 0.005
        rate = next(rate for start, rate in reversed(rate_at) if now_s >= start)
        while due_s <= now_s:
            due_s += 1 / rate
            stream = _queued_stream(now_s)
            queue.add(stream)
            waiting.append(stream)
        while running and running[0] <= now_s:
            heapq.heappop(running)
        for stream in tuple(waiting):
            if len(running) < SLOTS and queue.is_first(stream, now_s):
                heapq.heappush(running, now_s + RESIDENCE_S)
                waits.append(now_s - stream.arrived_s)
            elif _evaluate(queue, stream, now_s) is QueueDecision.REFUSE:
                waits.append(-1.0)
            else:
                continue
            waiting.remove(stream)
            queue.remove(stream)
    return waits


def test_short_burst_is_queued_without_refusals() -> None:
    waits = _replay([(0.0, 6.0), (4.0, 11.4), (9.0, 6.0)], 14.0)
    assert -1.0 not in waits
    on_time = sum(wait <= TARGET_S - 0.2 for wait in waits)
    assert on_time / len(waits) > 0.9


def test_overload_is_refused_early() -> None:
    waits = _replay([(0.0, 40.0)], 10.0)
    refused = waits.count(-1.0)
    assert refused > len(waits) / 3
    served = [wait for wait in waits if wait >= 0]
    assert max(served) <= CALLER_TIMEOUT_S
    assert len(served) >= 0.9 * SLOTS / RESIDENCE_S * 10.0


def test_stream_that_can_not_start_in_time_is_refused_at_once() -> None:
    queue = WaitQueue()
    for number in range(100):
        queue.add(_queued_stream(number * 1e-3))
    last = _queued_stream(0.2)
    queue.add(last)
    assert _evaluate(queue, last, 0.2) is QueueDecision.REFUSE


def test_no_stream_waits_without_a_decode_engine() -> None:
    queue, stream = WaitQueue(), _queued_stream(0.0)
    queue.add(stream)
    decision = queue.evaluate(stream, peer_tokens=0, release_per_s=0, now_s=0.0)
    assert decision is QueueDecision.REFUSE


def test_streams_that_can_be_on_time_go_before_late_streams() -> None:
    queue, older, newer = WaitQueue(), _queued_stream(0.0), _queued_stream(1.0)
    queue.add(older)
    queue.add(newer)
    assert queue.is_first(older, 0.5)
    assert queue.is_first(newer, 1.2)


def test_stream_that_lost_its_engine_goes_first() -> None:
    queue, other = WaitQueue(), _queued_stream(0.0)
    resumed = _queued_stream(0.5, workspace_cost=1e6, has_progress=True)
    queue.add(other)
    queue.add(resumed)
    assert queue.is_first(resumed, 0.6)


def test_workspace_that_was_served_less_goes_first() -> None:
    queue = WaitQueue()
    more_served, less_served = (
        _queued_stream(0.0, workspace_cost=90_000.0),
        _queued_stream(0.1, workspace_cost=5_000.0),
    )
    queue.add(more_served)
    queue.add(less_served)
    assert queue.is_first(less_served, 0.2)


def test_nodes_with_queued_streams_spread_their_polls() -> None:
    """Nine nodes wait for memory; a reservation is reported within 5 ms."""
    rng = random.Random(1)
    report_delay_s, collisions, polls, last_s = 0.005, 0, 0, -1.0
    due = [next_poll_s(8, rng.random()) for _ in range(9)]
    while polls < 1000:
        node = due.index(min(due))
        now_s = due[node]
        collisions += now_s - last_s < report_delay_s
        last_s = now_s
        polls += 1
        due[node] = now_s + next_poll_s(8, rng.random())
    assert collisions / polls < 0.5


def test_queued_streams_at_peers_lengthen_the_predicted_wait() -> None:
    queue, stream = WaitQueue(), _queued_stream(0.0)
    queue.add(stream)
    decision = queue.evaluate(
        stream,
        peer_tokens=RELEASE_PER_S * 10,
        release_per_s=RELEASE_PER_S,
        now_s=0.0,
    )
    assert decision is QueueDecision.REFUSE
