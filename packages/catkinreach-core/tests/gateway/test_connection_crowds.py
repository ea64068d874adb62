"""Places of connections while crowds of clients make no progress.

Load pattern: every place is taken by clients that stop half-way, and ordinary
clients come.
"""

from __future__ import annotations

import pytest

from catkinreach_core.gateway.connection_crowds import (
    MAX_CONNECTIONS,
    STALLED_AFTER_S,
    ConnectionState,
    ProcessLimits,
    Waiting,
    choose_replaced,
)

NOW_S = 100.0
PLACES = 50
ORDINARY_S = 0.2
"""Time that an ordinary client takes to send its request."""


def _state(
    waiting: Waiting, waited_s: float, held_bytes: int = 0
) -> ConnectionState:
    return ConnectionState(
        waiting=waiting, since_s=NOW_S - waited_s, held_bytes=held_bytes
    )


@pytest.mark.parametrize(
    ('connections', 'chosen'),
    [
        ({'a': _state(Waiting.ANSWER, 60.0)}, None),
        ({'a': _state(Waiting.CLIENT, ORDINARY_S, 10**6)}, None),
        (
            {
                'a': _state(Waiting.NEXT_REQUEST, 60.0),
                'b': _state(Waiting.CLIENT, STALLED_AFTER_S),
            },
            'b',
        ),
        (
            {
                'a': _state(Waiting.CLIENT, 9.0),
                'b': _state(Waiting.CLIENT, 3.0, 4096),
            },
            'b',
        ),
        (
            {
                'a': _state(Waiting.NEXT_REQUEST, 1.0),
                'b': _state(Waiting.NEXT_REQUEST, 5.0),
                'c': _state(Waiting.ANSWER, 9.0),
            },
            'b',
        ),
    ],
)
def test_place_of_the_client_that_holds_most_for_least_progress(
    connections: dict[str, ConnectionState], chosen: str | None
) -> None:
    assert choose_replaced(connections.items(), NOW_S) == chosen


# A bound alone kept all ordinary clients out.
def test_crowd_that_stops_half_way_keeps_ordinary_clients_out() -> None:
    places = {
        number: ConnectionState(
            waiting=Waiting.CLIENT, since_s=0.0, held_bytes=4096
        )
        for number in range(PLACES)
    }
    for step in range(10 * PLACES):
        now_s = STALLED_AFTER_S + step * ORDINARY_S
        ordinary = PLACES + step
        replaced = choose_replaced(places.items(), now_s)
        assert replaced is not None
        assert replaced < ordinary - 1 or step == 0
        del places[replaced]
        places[ordinary] = ConnectionState(
            waiting=Waiting.NEXT_REQUEST, since_s=now_s
        )


def test_bounds_follow_from_the_memory_and_the_descriptors() -> None:
    assert ProcessLimits().max_connections == MAX_CONNECTIONS
    smallest = ProcessLimits(
        memory_bytes=128_000_000, body_bytes=44_800_000, descriptors=4_100
    )
    assert smallest.max_connections == 675
    few = ProcessLimits(
        memory_bytes=552_000_000, body_bytes=193_200_000, descriptors=1_638
    )
    assert few.max_connections == 664
