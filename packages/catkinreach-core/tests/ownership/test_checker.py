"""Tests that the checker finds violations and accepts valid logs."""

from __future__ import annotations

import pytest

from catkinreach_core.ids import Incarnation, ShardId, VmId
from catkinreach_core.ownership.checker import check_events
from catkinreach_core.ownership.events import LeaseEvent, LeaseEventKind

ACQUIRED = LeaseEventKind.ACQUIRED
EXTENDED = LeaseEventKind.EXTENDED
RELEASED = LeaseEventKind.RELEASED


def _event(
    kind: LeaseEventKind, vm: str, term: int, at_s: float, until_s: float
) -> LeaseEvent:
    return LeaseEvent(
        kind=kind,
        shard=ShardId('limit/1'),
        vm_id=VmId(vm),
        incarnation=Incarnation(f'{vm}-incarnation'),
        term=term,
        at_s=at_s,
        wall_ms=0,
        until_s=until_s,
    )


@pytest.mark.parametrize(
    ('events', 'count'),
    [
        pytest.param(
            [
                _event(ACQUIRED, 'vm-1', 5, 1, 4),
                _event(ACQUIRED, 'vm-2', 6, 4, 7),
            ],
            0,
            id='successive tenures',
        ),
        pytest.param(
            [
                _event(ACQUIRED, 'vm-1', 5, 1, 4),
                _event(EXTENDED, 'vm-1', 5, 2, 5),
                _event(ACQUIRED, 'vm-2', 6, 4.5, 7),
            ],
            1,
            id='extension overlaps successor',
        ),
        pytest.param(
            [
                _event(ACQUIRED, 'vm-1', 5, 1, 4),
                _event(RELEASED, 'vm-1', 5, 2, 2),
                _event(ACQUIRED, 'vm-2', 6, 2.1, 7),
            ],
            0,
            id='released early',
        ),
        pytest.param(
            [
                _event(ACQUIRED, 'vm-1', 6, 1, 4),
                _event(ACQUIRED, 'vm-2', 6, 5, 7),
            ],
            1,
            id='term does not increase',
        ),
    ],
)
def test_violations_are_found(events: list[LeaseEvent], count: int) -> None:
    assert len(check_events(events)) == count
