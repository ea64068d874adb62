"""Benchmark of the time that the owner of a cell takes for a placement.

Run as ``python -m catkinreach_standins.fakes.placement_cost``. The cell has
32 engines; all decode places are taken and 400 requests are queued. Attempts
end one after the other, each of which frees a place for a queued request. The
time includes the submission, the queue, the placement and the reports of the
prefill's end, the first token and the attempt's end.
"""

from __future__ import annotations

import itertools
import sys
import time
from typing import TYPE_CHECKING

from catkinreach_core.cell.reservations import AttemptResult
from catkinreach_core.settings.fleet import QueueBounds

from .cells import make_cell, make_engine, make_request

if TYPE_CHECKING:
    from catkinreach_core.cell.cell import Cell
    from catkinreach_core.cell.placement_request import PlacementRequest

PREFILL_ENGINES = 8
DECODE_ENGINES = 24
PLACES_PER_ENGINE = 20
QUEUED_REQUESTS = 400
PLACEMENTS = 2000
REQUEST_PERIOD_S = 0.05
"""Simulated time between two requests."""

_UNLIMITED_S = 1e9
_MICROSECONDS_PER_S = 1e6


def _make_measured_cell() -> Cell:
    cell = make_cell(
        [make_engine(f'p{number}') for number in range(PREFILL_ENGINES)],
        [
            make_engine(f'd{number}', places=PLACES_PER_ENGINE)
            for number in range(DECODE_ENGINES)
        ],
        bounds=QueueBounds(
            max_requests=QUEUED_REQUESTS,
            max_tokens=10**9,
            max_age_s=_UNLIMITED_S,
        ),
    )
    cell.first_token_s = _UNLIMITED_S
    return cell


def _make_numbered_request(number: int) -> PlacementRequest:
    # 40 prompts in turn, each of 8 prefix blocks that no other has.
    first_block = number % 40 * 10
    return make_request(
        number,
        workspace=f'w{number % 50}',
        prompt_tokens=2048,
        blocks=tuple(range(first_block, first_block + 8)),
    )


def measure_placement_us() -> float:
    """Returns the mean time of a placement in microseconds."""
    cell = _make_measured_cell()
    request_numbers = itertools.count()
    now_s = 0.0
    for _ in range(DECODE_ENGINES * PLACES_PER_ENGINE + QUEUED_REQUESTS):
        now_s += REQUEST_PERIOD_S
        _submit_and_place(cell, next(request_numbers), now_s)
    start_s = time.perf_counter()
    placed = 0
    while placed < PLACEMENTS:
        now_s += REQUEST_PERIOD_S
        oldest = next(iter(cell.reserved))
        cell.reservations.end_attempt(
            oldest, 0, AttemptResult(is_complete=True, tokens=50), now_s
        )
        placed += _submit_and_place(cell, next(request_numbers), now_s)
    elapsed_s = time.perf_counter() - start_s
    return elapsed_s / placed * _MICROSECONDS_PER_S


def _submit_and_place(cell: Cell, number: int, now_s: float) -> int:
    cell.submit(_make_numbered_request(number), now_s)
    decisions = cell.process_queue(now_s)
    for decision in decisions:
        request_id = decision.request.request_id
        cell.reservations.record_prefill_end(
            request_id, 0, 0, now_s + REQUEST_PERIOD_S / 4
        )
        cell.reservations.record_first_token(
            request_id, 0, now_s + REQUEST_PERIOD_S / 2
        )
    return len(decisions)


def main() -> None:
    """Prints the mean time of a placement."""
    sys.stdout.write(f'{measure_placement_us():.0f} us per placement\n')


if __name__ == '__main__':
    main()

__all__ = ('main', 'measure_placement_us')
