"""Tests of prompts that share a crashing block and differ in all else."""

from __future__ import annotations

from typing import TYPE_CHECKING

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
    from catkinreach_core.cell.placement_request import (
        Decision,
        PlacementRequest,
    )

COMMON = 1
CRASHING = 2
HARMLESS = 3
RESTART_S = 1.0
"""Time that each crash takes, until the engine is up again."""

FIRST_REFUSAL_S = 20.0
SECOND_REFUSAL_S = 40.0


def _request(number: int, *shared_blocks: int) -> PlacementRequest:
    """Returns a request with shared blocks and one of its own."""
    return make_request(number, blocks=(*shared_blocks, 100 + number))


def _submit(cell: Cell, request: PlacementRequest, now_s: float) -> Decision:
    cell.submit(request, now_s)
    decision = cell.process_queue(now_s)[0]
    assert decision.request is request
    return decision


def _is_refused(cell: Cell, request: PlacementRequest, now_s: float) -> bool:
    decision = _submit(cell, request, now_s)
    if isinstance(decision, Granted):
        return False
    assert decision.kind is ErrorKind.REQUEST_QUARANTINED
    return True


def _crash(cell: Cell, request: PlacementRequest, now_s: float) -> None:
    """Runs a request that crashes its prefill engine, which restarts."""
    assert not _is_refused(cell, request, now_s)
    _end_by_crash(cell, request, now_s)


def _end_by_crash(cell: Cell, request: PlacementRequest, now_s: float) -> None:
    failure = Failure(UpstreamId('p1'), FailureKind.DISCONNECTED)
    cell.reservations.end_attempt(
        request.request_id,
        0,
        AttemptResult(is_complete=False, failure=failure),
        now_s,
    )
    view = cell.view(UpstreamId('p1'))
    assert view is not None
    cell.record_poll_failure(view, now_s, is_refused=True)
    cell.record_poll_answer(view, f'boot-{now_s}', now_s)
    view.ramp.merge_completed(1000)


def _run(cell: Cell, request: PlacementRequest, now_s: float) -> None:
    """Runs a request to its end."""
    assert not _is_refused(cell, request, now_s)
    reservations = cell.reservations
    reservations.record_prefill_end(request.request_id, 0, 0, now_s)
    reservations.record_first_token(request.request_id, 0, now_s)
    reservations.end_attempt(
        request.request_id, 0, AttemptResult(is_complete=True), now_s
    )


def _may_run(cell: Cell, request: PlacementRequest, now_s: float) -> bool:
    """Returns whether a request is placed; it doesn't run."""
    is_refused = _is_refused(cell, request, now_s)
    cell.withdraw(request.request_id, now_s)
    return not is_refused


def _cell() -> Cell:
    return make_cell([make_engine('p1', places=8)])


def _crash_three_times(cell: Cell) -> None:
    for number in range(3):
        _crash(cell, _request(number, COMMON, CRASHING), number * RESTART_S)


def test_different_prompts_crash_engines_without_end() -> None:
    # Crashes were counted by the digest of the whole prompt only.
    cell = _cell()
    crashes = 0
    for number in range(8):
        request = _request(number, CRASHING)
        now_s = number * RESTART_S
        decision = _submit(cell, request, now_s)
        if isinstance(decision, Refused):
            assert decision.kind is ErrorKind.REQUEST_QUARANTINED
            continue
        _end_by_crash(cell, request, now_s)
        crashes += 1
    assert crashes == 3


def test_harmless_prompt_with_a_common_block_is_refused() -> None:
    cell = _cell()
    _crash_three_times(cell)
    assert _is_refused(cell, _request(10, COMMON, CRASHING), 4.0)
    assert _may_run(cell, _request(11, COMMON), 4.0)
    assert _may_run(cell, _request(12, COMMON, HARMLESS), 4.0)
    assert _may_run(cell, _request(13, HARMLESS), 4.0)
    assert _may_run(cell, _request(14), 4.0)


def test_crashing_block_is_refused_after_its_common_block_ran() -> None:
    cell = _cell()
    _crash_three_times(cell)
    _run(cell, _request(10, COMMON, HARMLESS), 4.0)
    assert _is_refused(cell, _request(11, COMMON, CRASHING), 5.0)
    assert _may_run(cell, _request(12, COMMON), 5.0)


def test_common_block_that_crashes_is_found() -> None:
    cell = _cell()
    _crash_three_times(cell)
    _crash(cell, _request(10, COMMON, HARMLESS), 4.0)
    assert _is_refused(cell, _request(11, COMMON), 5.0)
    assert _is_refused(cell, _request(12, COMMON, CRASHING), 5.0)


def test_block_that_ran_since_is_cleared() -> None:
    cell = _cell()
    for number in (0, 1):
        _crash(cell, _request(number, HARMLESS), number * RESTART_S)
    _run(cell, _request(2, HARMLESS), 2.0)
    _crash(cell, _request(3, HARMLESS), 3.0)
    assert _may_run(cell, _request(4, HARMLESS), 4.0)


def test_block_is_tried_again_after_its_refusal() -> None:
    cell = _cell()
    _crash_three_times(cell)
    last_crash_s = 2 * RESTART_S
    retry_s = last_crash_s + FIRST_REFUSAL_S
    assert _is_refused(cell, _request(10, COMMON, CRASHING), retry_s - 0.1)
    _crash(cell, _request(11, COMMON, CRASHING), retry_s)
    end_s = retry_s + SECOND_REFUSAL_S
    assert _is_refused(cell, _request(12, COMMON, CRASHING), end_s - 0.1)
    assert _may_run(cell, _request(13, COMMON, CRASHING), end_s)


def test_prompts_that_run_beside_a_crashing_one_are_harmless() -> None:
    cell = _cell()
    for number in range(3):
        now_s = number * RESTART_S
        beside = _request(20 + number, HARMLESS)
        assert not _is_refused(cell, beside, now_s)
        _crash(cell, _request(number, CRASHING), now_s)
        cell.withdraw(beside.request_id, now_s)
    assert _may_run(cell, _request(30, HARMLESS), 4.0)
    assert _may_run(cell, _request(31, CRASHING), 4.0)


def test_loss_of_a_failure_domain_makes_no_block_suspect() -> None:
    cell = make_cell(
        [make_engine('p1', places=8), make_engine('p2', places=8)],
        [make_engine('d1'), make_engine('d2')],
    )
    for number in (1, 2):
        cell.submit(_request(number, HARMLESS), 0.0)
    for item in cell.process_queue(0.0):
        assert isinstance(item, Granted)
        failure = Failure(item.prefill, FailureKind.DISCONNECTED)
        cell.reservations.end_attempt(
            item.request.request_id,
            0,
            AttemptResult(is_complete=False, failure=failure),
            0.1,
        )
    for view in cell.placer.prefill:
        cell.record_poll_failure(view, 0.2, is_refused=True)
    assert not tuple(cell.crashes.blocks.suspicions())
