"""Tests of the placement, refusals and reservations of a cell."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from hypothesis import given, settings
from hypothesis import strategies as st

from catkinreach_core.cell.placement_request import Granted, Refused, Stage
from catkinreach_core.cell.reservations import AttemptResult
from catkinreach_core.errors import ErrorKind
from catkinreach_core.ids import UpstreamId
from catkinreach_core.settings.fleet import QueueBounds
from catkinreach_standins.fakes.cells import (
    make_cell,
    make_engine,
    make_request,
)

if TYPE_CHECKING:
    from catkinreach_core.cell.cell import Cell

DONE = AttemptResult(is_complete=True, tokens=50)


def test_decode_places_are_reserved_before_the_prefill() -> None:
    cell = make_cell(
        [make_engine('p1', places=20)], [make_engine('d1', places=2)]
    )
    for number in range(5):
        cell.submit(make_request(number), 0.0)
        for decision in cell.process_queue(0.0):
            cell.reservations.record_prefill_end(
                decision.request.request_id, 0, 0, 0.0
            )
    assert len(cell.reserved) == 2
    assert len(cell.queue) == 3


def test_freed_place_goes_to_the_next_request() -> None:
    cell = make_cell([make_engine('p1')], [make_engine('d1', places=1)])
    cell.submit(make_request(1), 0.0)
    cell.submit(make_request(2), 0.0)
    assert [
        decision.request.request_id for decision in cell.process_queue(0.0)
    ] == ['r1']
    cell.reservations.record_prefill_end(make_request(1).request_id, 0, 0, 0.1)
    cell.reservations.end_attempt(make_request(1).request_id, 0, DONE, 0.2)
    assert [
        decision.request.request_id for decision in cell.process_queue(0.2)
    ] == ['r2']


def test_request_that_would_miss_its_deadline_is_refused() -> None:
    cell = make_cell([make_engine('p1')], [make_engine('d1', places=1)])
    cell.submit(make_request(1), 0.0)
    cell.process_queue(0.0)
    cell.submit(make_request(2), 0.0)
    assert not cell.process_queue(0.5)
    refused = cell.process_queue(0.79)
    assert isinstance(refused[0], Refused)
    assert refused[0].kind is ErrorKind.DEADLINE_UNREACHABLE


def test_long_prompt_gets_a_longer_first_token_timeout() -> None:
    cell = make_cell()
    cell.submit(make_request(1, prompt_tokens=20_000), 0.0)
    assert isinstance(cell.process_queue(0.0)[0], Granted)


def test_resumed_request_is_not_refused_for_its_age() -> None:
    cell = make_cell([make_engine('p1')], [make_engine('d1', places=1)])
    cell.submit(make_request(1, is_resume=True, age_s=60.0), 100.0)
    assert isinstance(cell.process_queue(100.0)[0], Granted)


def test_full_queue_refuses_a_request() -> None:
    cell = make_cell(
        [make_engine('p1')],
        [make_engine('d1', places=1)],
        bounds=QueueBounds(max_requests=1),
    )
    for number in range(3):
        cell.submit(make_request(number), 0.0)
        cell.process_queue(0.0) if not number else None
    kinds = [
        getattr(decision, 'kind', None) for decision in cell.process_queue(0.0)
    ]
    assert kinds == [ErrorKind.QUEUE_FULL]


def test_request_is_placed_where_its_prefix_is_cached() -> None:
    cell = make_cell()
    blocks = tuple(range(8))
    cell.placer.prefill[1].prefixes.store(blocks)
    cell.submit(make_request(1, prompt_tokens=2048, blocks=blocks), 0.0)
    granted = cell.process_queue(0.0)[0]
    assert isinstance(granted, Granted)
    assert granted.prefill == 'p2'


def test_queued_work_outweighs_a_short_cached_prefix() -> None:
    cell = make_cell()
    cell.placer.prefill[1].prefixes.store((0,))
    for number in range(2):
        cell.submit(make_request(number, prompt_tokens=900, blocks=(0,)), 0.0)
    used = {getattr(item, 'prefill', '') for item in cell.process_queue(0.0)}
    assert used == {'p1', 'p2'}


def test_engine_out_of_service_gets_no_requests() -> None:
    cell = make_cell()
    cell.placer.decode[0].is_in_service = False
    for number in range(3):
        cell.submit(make_request(number), 0.0)
    decisions = cell.process_queue(0.0)
    assert all(isinstance(item, Granted) for item in decisions)
    assert {getattr(item, 'decode', '') for item in decisions} == {'d2'}


def test_refusal_names_the_unavailable_dependency() -> None:
    cell = make_cell()
    cell.unavailable_dependency = 'bee-app'
    cell.submit(make_request(1), 0.0)
    refused = cell.process_queue(0.0)[0]
    assert isinstance(refused, Refused)
    assert refused.kind is ErrorKind.DEPENDENCY_OUT
    assert 'bee-app' in refused.detail


def test_new_owner_restores_the_reservations_of_nodes() -> None:
    cell = make_cell([make_engine('p1')], [make_engine('d1', places=1)])
    cell.reservations.restore(
        Granted(make_request(1), UpstreamId('p1'), UpstreamId('d1')),
        Stage.DECODE,
        0.0,
    )
    cell.submit(make_request(2), 0.0)
    assert not cell.process_queue(0.0)
    cell.reservations.end_attempt(make_request(1).request_id, 0, DONE, 0.1)
    assert len(cell.process_queue(0.1)) == 1


def test_reservation_that_its_vm_does_not_list_is_released() -> None:
    cell = make_cell([make_engine('p1')], [make_engine('d1', places=1)])
    cell.submit(make_request(1), 0.0)
    cell.process_queue(0.0)
    cell.reservations.confirm_live(make_request(1).vm_id, frozenset(), 1.0)
    assert cell.reserved
    cell.reservations.confirm_live(make_request(1).vm_id, frozenset(), 3.0)
    assert not cell.reserved


_STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ['submit', 'submit', 'prefilled', 'started', 'end', 'withdraw']
        ),
        st.integers(0, 12),
        st.integers(0, 3),
    ),
    max_size=80,
)


@settings(max_examples=80, deadline=None, derandomize=True)
@given(_STEPS)
def test_reservations_never_exceed_the_capacity(
    steps: list[tuple[str, int, int]],
) -> None:
    cell = make_cell(
        [make_engine('p1', places=2), make_engine('p2', places=2)],
        [make_engine('d1', places=2, kv_pieces=3), make_engine('d2', places=3)],
    )
    now_s = 0.0
    answered: Counter[str] = Counter()
    for step, number, tenths in steps:
        now_s += tenths / 10
        request_id = make_request(number).request_id
        if step == 'submit':
            cell.submit(make_request(number, prompt_tokens=1500), now_s)
        elif step == 'prefilled':
            cell.reservations.record_prefill_end(request_id, 0, 0, now_s)
        elif step == 'started':
            cell.reservations.record_first_token(request_id, 0, now_s)
        elif step == 'end':
            cell.reservations.end_attempt(request_id, 0, DONE, now_s)
        else:
            cell.withdraw(request_id, now_s)
        answered.update(
            type(item).__name__ for item in cell.process_queue(now_s)
        )
        _assert_counts_match_reservations(cell)
    for request_id in tuple(cell.reserved):
        cell.withdraw(request_id, now_s)
    assert all(view.used_places == 0 for view in cell.views)
    assert all(
        view.free_pieces == view.upstream.kv_pieces for view in cell.views
    )
    assert all(view.wait_s(now_s) == 0 for view in cell.views)


def _assert_counts_match_reservations(cell: Cell) -> None:
    for view in cell.placer.decode:
        holders = [
            reservation
            for reservation in cell.reserved.values()
            if reservation.granted.decode == view.upstream_id
        ]
        assert view.used_places == len(holders) <= view.upstream.places
        assert view.free_pieces >= 0
    for view in cell.placer.prefill:
        assert view.used_places <= view.upstream.places
    waiting = {item.request.request_id for item in cell.queue.waiting}
    assert not waiting & set(cell.reserved)
