"""Streams that wait for memory.

Load pattern: a burst of 1.9 times the usual fills the memory of all decode
engines for five seconds, while streams end all the time.
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
PATIENCE_S = 3.0
"""Time after which callers have left."""

RELEASE_PER_S = 60_000.0
STREAM_TOKENS = 5600
RESIDENCE_S = 3.0
SLOTS = 32
"""Streams whose memory fits at once."""


def _ticket(
    at_s: float, *, served: float = 0.0, has_progress: bool = False
) -> QueuedStream:
    return QueuedStream(
        tokens=STREAM_TOKENS,
        priority=1,
        served=served,
        arrived_s=at_s,
        on_time_until_s=at_s + TARGET_S - 0.2,
        useful_until_s=at_s + PATIENCE_S,
        has_progress=has_progress,
    )


def _judge(
    line: WaitQueue, ticket: QueuedStream, now_s: float
) -> QueueDecision:
    return line.evaluate(
        ticket, peer_tokens=0.0, release_per_s=RELEASE_PER_S, now_s=now_s
    )


def _replay(rate_at: list[tuple[float, float]], until_s: float) -> list[float]:
    """Replays arrivals at one node; returns waits, -1 for a refusal."""
    line = WaitQueue()
    running: list[float] = []
    waits: list[float] = []
    waiting: list[QueuedStream] = []
    now_s, due_s = 0.0, 0.0
    while now_s < until_s:
        now_s += 0.005
        rate = next(rate for start, rate in reversed(rate_at) if now_s >= start)
        while due_s <= now_s:
            due_s += 1 / rate
            ticket = _ticket(now_s)
            line.add(ticket)
            waiting.append(ticket)
        while running and running[0] <= now_s:
            heapq.heappop(running)
        for ticket in tuple(waiting):
            if len(running) < SLOTS and line.is_first(ticket, now_s):
                heapq.heappush(running, now_s + RESIDENCE_S)
                waits.append(now_s - ticket.arrived_s)
            elif _judge(line, ticket, now_s) is QueueDecision.REFUSE:
                waits.append(-1.0)
            else:
                continue
            waiting.remove(ticket)
            line.remove(ticket)
    return waits


def test_a_burst_within_reach_is_waited_out() -> None:
    waits = _replay([(0.0, 6.0), (4.0, 11.4), (9.0, 6.0)], 14.0)
    assert -1.0 not in waits
    on_time = sum(wait <= TARGET_S - 0.2 for wait in waits)
    assert on_time / len(waits) > 0.9


def test_a_load_beyond_reach_is_refused_early() -> None:
    waits = _replay([(0.0, 40.0)], 10.0)
    refused = waits.count(-1.0)
    assert refused > len(waits) / 3
    served = [wait for wait in waits if wait >= 0]
    assert max(served) <= PATIENCE_S
    assert len(served) >= 0.9 * SLOTS / RESIDENCE_S * 10.0


def test_line_refuses_at_once_what_it_can_not_serve() -> None:
    line = WaitQueue()
    for number in range(100):
        line.add(_ticket(number * 1e-3))
    last = _ticket(0.2)
    line.add(last)
    assert _judge(line, last, 0.2) is QueueDecision.REFUSE


def test_nothing_waits_where_no_engine_decodes() -> None:
    line, ticket = WaitQueue(), _ticket(0.0)
    line.add(ticket)
    verdict = line.evaluate(ticket, peer_tokens=0, release_per_s=0, now_s=0.0)
    assert verdict is QueueDecision.REFUSE


def test_streams_that_can_be_on_time_go_before_late_ones() -> None:
    line, late, fresh = WaitQueue(), _ticket(0.0), _ticket(1.0)
    line.add(late)
    line.add(fresh)
    assert line.is_first(late, 0.5)
    assert line.is_first(fresh, 1.2)


def test_stream_that_lost_its_engine_goes_first() -> None:
    line, fresh = WaitQueue(), _ticket(0.0)
    resumed = _ticket(0.5, served=1e6, has_progress=True)
    line.add(fresh)
    line.add(resumed)
    assert line.is_first(resumed, 0.6)


def test_workspace_that_was_served_less_goes_first() -> None:
    line = WaitQueue()
    hot, small = _ticket(0.0, served=90_000.0), _ticket(0.1, served=5_000.0)
    line.add(hot)
    line.add(small)
    assert line.is_first(small, 0.2)


def test_nodes_with_a_line_look_one_after_the_other() -> None:
    """Nine nodes wait for room; a choice is told to the others in 5 ms."""
    rng = random.Random(1)
    told_s, collisions, looks, last_s = 0.005, 0, 0, -1.0
    due = [next_poll_s(8, rng.random()) for _ in range(9)]
    while looks < 1000:
        node = due.index(min(due))
        now_s = due[node]
        collisions += now_s - last_s < told_s
        last_s = now_s
        looks += 1
        due[node] = now_s + next_poll_s(8, rng.random())
    assert collisions / looks < 0.5


def test_peers_that_wait_lengthen_the_prediction() -> None:
    line, ticket = WaitQueue(), _ticket(0.0)
    line.add(ticket)
    verdict = line.evaluate(
        ticket,
        peer_tokens=RELEASE_PER_S * 10,
        release_per_s=RELEASE_PER_S,
        now_s=0.0,
    )
    assert verdict is QueueDecision.REFUSE
