"""Tests of the fairness and the bounds of the wait queue."""

from __future__ import annotations

from collections import Counter
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from catkinreach_core.cell.queue import FairQueue, QueuedRequest
from catkinreach_core.ids import WorkspaceId
from catkinreach_core.settings.fleet import QueueBounds
from catkinreach_standins.fakes.cells import make_request


def _queued(number: int, workspace: str, **fields: Any) -> QueuedRequest:
    request = make_request(number, workspace=workspace, **fields)
    return QueuedRequest(request, arrived_at_s=number, deadline_s=number + 1)


def _drain(queue: FairQueue, count: int) -> list[QueuedRequest]:
    taken = []
    for _ in range(count):
        item = next(queue.heads())
        queue.remove_placed(item)
        taken.append(item)
    return taken


def test_busy_workspace_does_not_delay_the_others() -> None:
    queue = FairQueue(QueueBounds())
    for number in range(50):
        queue.push(_queued(number, 'busy'), 1.0)
    queue.push(_queued(50, 'idle'), 1.0)
    first = _drain(queue, 2)
    assert 'idle' in {item.request.workspace_id for item in first}


def test_shares_follow_the_weights() -> None:
    queue = FairQueue(QueueBounds())
    for number in range(90):
        workspace = 'heavy' if number % 2 else 'light'
        queue.push(_queued(number, workspace), 2.0 if number % 2 else 1.0)
    counts = Counter(item.request.workspace_id for item in _drain(queue, 30))
    assert 19 <= counts[WorkspaceId('heavy')] <= 21


def test_unused_share_allows_a_later_burst() -> None:
    queue = FairQueue(QueueBounds())
    queue.push(_queued(0, 'idle'), 1.0)
    queue.remove_placed(next(queue.heads()))
    for number in range(1, 40):
        queue.push(_queued(number, 'busy'), 1.0)
    for step in range(12):
        queue.sample_virtual_time(step * 0.25)
        queue.remove_placed(next(queue.heads()))
    for number in range(40, 44):
        queue.push(_queued(number, 'idle'), 1.0)
    first = _drain(queue, 4)
    assert {item.request.workspace_id for item in first} == {'idle'}


def test_unused_share_expires() -> None:
    queue = FairQueue(QueueBounds())
    for number in range(100):
        queue.push(_queued(number, 'busy'), 1.0)
    for step in range(40):
        queue.sample_virtual_time(step * 1.0)
        queue.remove_placed(next(queue.heads()))
    for number in range(100, 140):
        queue.push(_queued(number, 'idle'), 1.0)
    counts = Counter(item.request.workspace_id for item in _drain(queue, 20))
    assert 10 <= counts[WorkspaceId('idle')] <= 13


def test_resumed_requests_go_first() -> None:
    queue = FairQueue(QueueBounds())
    queue.push(_queued(1, 'w'), 1.0)
    queue.push(_queued(2, 'w', is_resume=True), 1.0)
    assert next(queue.heads()).request.is_resume


def test_full_queue_sheds_from_the_largest_backlog() -> None:
    queue = FairQueue(QueueBounds(max_requests=4))
    for number in range(4):
        assert queue.push(_queued(number, 'busy'), 1.0) is None
    shed = queue.push(_queued(9, 'idle'), 1.0)
    assert shed is not None
    assert shed.request.request_id == 'r3'
    again = _queued(10, 'busy')
    assert queue.push(again, 1.0) is again


@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(['push', 'take', 'remove']),
            st.sampled_from(['a', 'b', 'c']),
            st.integers(1, 3000),
        ),
        max_size=60,
    )
)
def test_totals_match_the_queued_requests(
    steps: list[tuple[str, str, int]],
) -> None:
    bounds = QueueBounds(max_requests=10, max_tokens=9000)
    queue = FairQueue(bounds)
    for number, (step, workspace, tokens) in enumerate(steps):
        if step == 'push':
            queue.push(_queued(number, workspace, prompt_tokens=tokens), 1.0)
        elif step == 'take' and len(queue):
            queue.remove_placed(next(queue.heads()))
        elif len(queue):
            queue.remove(next(queue.waiting))
        waiting = list(queue.waiting)
        assert len(waiting) == len(queue) <= bounds.max_requests
        assert sum(item.tokens for item in waiting) == queue.tokens
        assert queue.tokens <= bounds.max_tokens
        assert bool(waiting) == any(True for _ in queue.heads())


@settings(max_examples=40, deadline=None, derandomize=True)
@given(st.lists(st.integers(1, 4000), min_size=2, max_size=60))
def test_backlogged_workspaces_get_equal_cost(sizes: list[int]) -> None:
    queue = FairQueue(QueueBounds(max_tokens=10**9))
    for number, size in enumerate(sizes):
        for offset, workspace in enumerate('ab'):
            queue.push(
                _queued(2 * number + offset, workspace, prompt_tokens=size),
                1.0,
            )
    served: Counter[str] = Counter()
    largest = max(item.cost for item in queue.waiting)
    while True:
        waiting = {item.request.workspace_id for item in queue.waiting}
        if len(waiting) < 2:
            break
        item = next(queue.heads())
        queue.remove_placed(item)
        served[str(item.request.workspace_id)] += int(item.cost)
        assert abs(served['a'] - served['b']) <= 2 * largest
