"""Processor time of a cell's owner for each placement.

Run as ``python -m catkinreach_standins.fakes.placement_cost``: 32 engines,
all decode places taken and 400 requests queued; one place after the other
becomes free. Counts asking, queueing, placing and the three reports.
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
PLACES = 20
QUEUED = 400
PLACEMENTS = 2000
STEP_S = 0.05
_ENDLESS_S = 1e9
_MICROSECONDS_PER_S = 1e6


def _full_cell() -> Cell:
    cell = make_cell(
        [make_engine(f'p{number}') for number in range(PREFILL_ENGINES)],
        [
            make_engine(f'd{number}', places=PLACES)
            for number in range(DECODE_ENGINES)
        ],
        bounds=QueueBounds(
            max_requests=QUEUED, max_tokens=10**9, max_age_s=_ENDLESS_S
        ),
    )
    cell.first_token_s = _ENDLESS_S
    return cell


def _ask(number: int) -> PlacementRequest:
    first = number % 40 * 10
    return make_request(
        number,
        workspace=f'w{number % 50}',
        prompt_tokens=2048,
        blocks=tuple(range(first, first + 8)),
    )


def measure() -> float:
    """Returns the microseconds of each placement."""
    cell = _full_cell()
    numbers = itertools.count()
    now_s = 0.0
    for _ in range(DECODE_ENGINES * PLACES + QUEUED):
        now_s += STEP_S
        _submit(cell, next(numbers), now_s)
    started_s = time.perf_counter()
    placed = 0
    while placed < PLACEMENTS:
        now_s += STEP_S
        oldest = next(iter(cell.reserved))
        cell.reservations.end_attempt(
            oldest, 0, AttemptResult(is_complete=True, tokens=50), now_s
        )
        placed += _submit(cell, next(numbers), now_s)
    spent_s = time.perf_counter() - started_s
    return spent_s / placed * _MICROSECONDS_PER_S


def _submit(cell: Cell, number: int, now_s: float) -> int:
    cell.submit(_ask(number), now_s)
    decisions = cell.process_queue(now_s)
    for decision in decisions:
        request_id = decision.request.request_id
        cell.reservations.record_prefill_end(
            request_id, 0, 0, now_s + STEP_S / 4
        )
        cell.reservations.record_first_token(request_id, 0, now_s + STEP_S / 2)
    return len(decisions)


def main() -> None:
    """Prints the cost."""
    sys.stdout.write(f'{measure():.0f} us per placement\n')


if __name__ == '__main__':
    main()

__all__ = ('main', 'measure')
