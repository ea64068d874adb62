"""Tests of the next order for an engine and of the pace of loads."""

from __future__ import annotations

import pytest

from catkinreach_core.engine_orders.pacer import LoadPacer
from catkinreach_core.engine_orders.plan import (
    EngineState,
    OrderKind,
    next_order,
)
from catkinreach_core.ids import PoolId, Revision, UpstreamId
from catkinreach_core.settings.fleet import Pool, PoolRole

POOL = Pool(
    pool_id=PoolId('pool'),
    role=PoolRole.DECODE,
    model='pattern-llm',
    version='v2',
)


@pytest.mark.parametrize(
    ('state', 'kind'),
    [
        (EngineState(role='prefill'), OrderKind.LOAD_MODEL),
        (
            EngineState(role='prefill', models=('pattern-llm',)),
            OrderKind.SET_VERSION,
        ),
        (
            EngineState(
                role='decode',
                models=('pattern-llm',),
                versions={'pattern-llm': 'v1'},
            ),
            OrderKind.SET_VERSION,
        ),
        (
            EngineState(
                role='prefill',
                models=('pattern-llm',),
                versions={'pattern-llm': 'v2'},
            ),
            OrderKind.SET_ROLE,
        ),
        (
            EngineState(
                role='decode',
                models=('pattern-llm',),
                versions={'pattern-llm': 'v2'},
            ),
            None,
        ),
    ],
)
def test_first_difference_from_the_settings_is_ordered(
    state: EngineState, kind: OrderKind | None
) -> None:
    order = next_order(UpstreamId('engine'), POOL, state, Revision(7))
    assert (order.kind if order else None) is kind
    assert order is None or order.fence == 7


def test_successive_tenures_load_no_faster_than_one() -> None:
    loads = []
    for started_s, ended_s in ((0, 31), (31, 38), (38, 80)):
        pacer = LoadPacer(10, 2, started_at_s=started_s)
        loads += [
            now_s
            for now_s in range(started_s, ended_s)
            if pacer.try_start_load(now_s)
        ]
    assert loads == [12, 24, 50, 62, 74]
