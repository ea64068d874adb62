"""Log lines of decisions while a crowd fills the log."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from catkinreach_node.gateway import decision_log
from catkinreach_node.gateway.decision_log import DecisionLog, Event

if TYPE_CHECKING:
    import pytest

CROWD = 16_000
MAX_LINES = 200
MISSING_ROUTE = 'route-unknown'
FULL_QUEUE = 'queue-timeout'


# Refusals of a crowd without a route hid why others were refused.
def test_crowd_without_a_route_hides_other_refusals(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    lines: Counter[object] = Counter()
    monkeypatch.setattr(
        decision_log,
        '_emit',
        lambda _, fields: lines.update([fields.get('code')]),
    )
    log = DecisionLog(lambda: 0.0)
    for _ in range(CROWD):
        log.write(Event.REFUSED, code=MISSING_ROUTE)
    log.write(Event.REFUSED, code=FULL_QUEUE)
    assert lines[FULL_QUEUE] == 1
    assert lines[MISSING_ROUTE] == MAX_LINES
    assert log.dropped == CROWD - MAX_LINES
