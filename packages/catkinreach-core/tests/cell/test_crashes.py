"""Tests of the quarantine of prompts that crash engines."""

from __future__ import annotations

from typing import TYPE_CHECKING

from catkinreach_core.cell.engine_view import Health
from catkinreach_core.cell.placement_request import Granted, Refused
from catkinreach_core.cell.reservations import (
    AttemptResult,
    Failure,
    FailureKind,
)
from catkinreach_core.errors import ErrorKind
from catkinreach_core.ids import UpstreamId
from catkinreach_standins.fakes.cells import (
    make_cell,
    make_engine,
    make_request,
)

if TYPE_CHECKING:
    from catkinreach_core.cell.cell import Cell


def _disconnected(upstream: str) -> AttemptResult:
    return AttemptResult(
        is_complete=False,
        failure=Failure(UpstreamId(upstream), FailureKind.DISCONNECTED),
    )


def _restart(cell: Cell, upstream: str, boot: str, now_s: float) -> None:
    view = cell.view(UpstreamId(upstream))
    assert view is not None
    cell.record_poll_failure(view, now_s, is_refused=True)
    cell.record_poll_answer(view, boot, now_s + 0.1)
    view.ramp.merge_completed(1000)


def _crash_together(cell: Cell) -> None:
    """Runs r1, which crashes engines, and r2 on one prefill engine."""
    cell.submit(make_request(1), 0.0)
    cell.submit(make_request(2), 0.0)
    for decision in cell.process_queue(0.0):
        assert isinstance(decision, Granted)
        assert decision.prefill == 'p1'
    cell.reservations.end_attempt(
        make_request(1).request_id, 0, _disconnected('p1'), 0.1
    )
    cell.reservations.end_attempt(
        make_request(2).request_id, 0, _disconnected('p1'), 0.1
    )


def test_prompt_is_refused_after_a_second_crash_while_alone() -> None:
    cell = make_cell([make_engine('p1', places=8)])
    _crash_together(cell)
    cell.submit(make_request(1, attempt=1, is_resume=True), 0.1)
    assert not cell.process_queue(0.1)
    _restart(cell, 'p1', 'boot-2', 0.2)
    granted = cell.process_queue(0.4)[0]
    assert isinstance(granted, Granted)
    assert granted.is_alone
    cell.reservations.end_attempt(
        make_request(1).request_id, 1, _disconnected('p1'), 0.5
    )
    _restart(cell, 'p1', 'boot-3', 0.6)
    cell.submit(make_request(7, digest='d1'), 0.8)
    refused = cell.process_queue(0.8)[0]
    assert isinstance(refused, Refused)
    assert refused.kind is ErrorKind.REQUEST_QUARANTINED


def test_harmless_suspect_runs_alone_and_is_cleared() -> None:
    cell = make_cell([make_engine('p1', places=8)])
    _crash_together(cell)
    _restart(cell, 'p1', 'boot-2', 0.2)
    cell.submit(make_request(2, attempt=1, is_resume=True), 0.4)
    cell.submit(make_request(3), 0.4)
    granted = cell.process_queue(0.4)
    assert [item.request.request_id for item in granted] == ['r2']
    cell.reservations.record_prefill_end(make_request(2).request_id, 1, 0, 0.5)
    cell.reservations.record_first_token(make_request(2).request_id, 1, 0.6)
    assert not cell.crashes.suspects.is_suspect('d2', 0.6)
    assert cell.crashes.suspects.is_suspect('d1', 0.6)


def test_disconnect_without_restart_suspects_no_prompt() -> None:
    cell = make_cell([make_engine('p1', places=8)])
    _crash_together(cell)
    view = cell.view(UpstreamId('p1'))
    assert view is not None
    assert view.health is Health.DOWN
    cell.record_poll_answer(view, 'p1-boot-1', 0.2)
    assert not cell.crashes.suspects.suspect_count


def test_loss_of_a_failure_domain_suspects_no_prompt() -> None:
    cell = make_cell(
        [make_engine('p1', places=8), make_engine('p2', places=8)],
        [make_engine('d1'), make_engine('d2')],
    )
    for number in (1, 2):
        cell.submit(make_request(number), 0.0)
    for item in cell.process_queue(0.0):
        assert isinstance(item, Granted)
        cell.reservations.end_attempt(
            item.request.request_id, 0, _disconnected(item.prefill), 0.1
        )
    for view in cell.placer.prefill:
        cell.record_poll_failure(view, 0.2, is_refused=True)
    assert not cell.crashes.suspects.suspect_count


def test_copies_of_an_unproven_prompt_stay_on_the_same_engines() -> None:
    cell = make_cell()
    for number in range(4):
        cell.submit(make_request(number, digest='same'), 0.0)
    decisions = cell.process_queue(0.0)
    assert len({getattr(item, 'prefill', '') for item in decisions}) == 1
    assert len({getattr(item, 'decode', '') for item in decisions}) == 1


def test_unresolved_disconnects_do_not_block_other_requests() -> None:
    # More prompts wait for the engines than one search tries to place.
    cell = make_cell(
        [make_engine('p1', places=20), make_engine('p2', places=20)]
    )
    for number in range(12):
        cell.submit(make_request(number, prompt_tokens=10), 0.0)
    for decision in cell.process_queue(0.0):
        assert isinstance(decision, Granted)
        request_id = decision.request.request_id
        cell.reservations.end_attempt(
            request_id, 0, _disconnected(decision.prefill), 0.1
        )
        number = int(request_id[1:])
        cell.submit(make_request(number, attempt=1, is_resume=True), 0.1)
    for view in cell.placer.prefill:
        view.health = Health.UP
    cell.submit(make_request(99), 0.1)
    assert 'r99' in {
        item.request.request_id for item in cell.process_queue(0.1)
    }


def test_prompt_waits_after_two_unresolved_disconnects() -> None:
    cell = make_cell(
        [make_engine('p1'), make_engine('p2', domain='b')],
        [make_engine('d1')],
    )
    cell.submit(make_request(1), 0.0)
    first = cell.process_queue(0.0)[0]
    assert isinstance(first, Granted)
    cell.reservations.end_attempt(
        first.request.request_id, 0, _disconnected(first.prefill), 0.1
    )
    cell.submit(make_request(1, attempt=1, is_resume=True), 0.1)
    assert not cell.process_queue(1.0)
    second = cell.process_queue(2.5)[0]
    assert isinstance(second, Granted)
    assert second.is_alone
    cell.reservations.end_attempt(
        second.request.request_id, 1, _disconnected(second.prefill), 2.6
    )
    cell.submit(make_request(1, attempt=2, is_resume=True), 2.6)
    assert not cell.process_queue(9.0)
    for number, name in enumerate(('p1', 'p2')):
        _restart(cell, name, f'boot-{number}', 9.5)
    refused = cell.process_queue(9.8)[0]
    assert isinstance(refused, Refused)
    assert refused.kind is ErrorKind.REQUEST_QUARANTINED
