"""Retries that are given back, and the budget of the window after that."""

from __future__ import annotations

from types import SimpleNamespace
from typing import TYPE_CHECKING, cast

from catkinreach_core.gateway.retry_budget import SLACK_USE, RetryBudget
from catkinreach_core.ids import ServiceId
from catkinreach_node.gateway.held_retries import HeldRetries

if TYPE_CHECKING:
    from catkinreach_node.gateway.node import Node

SERVICE_ID = ServiceId('models')
WINDOW_S = 10.0
CONNECT_S = 0.34
RETRIES = 3


# The retries left the window before what was given back did: for as long as the
# connects had taken, the window counted fewer retries than there were.
def test_retries_given_back_are_spent_beyond_the_budget() -> None:
    now_s = 0.0
    budget = RetryBudget(
        ratio=0.0, slack=RETRIES / SLACK_USE, window_s=WINDOW_S
    )
    node = SimpleNamespace(
        clock=lambda: now_s,
        members=SimpleNamespace(share_count=1),
        retry_budget=budget,
    )
    held = HeldRetries(cast('Node', node), SERVICE_ID)
    assert held.try_hold(RETRIES)
    for _ in range(RETRIES):
        held.spend()
    now_s = CONNECT_S
    for _ in range(RETRIES):
        held.take_back()
    held.release()
    now_s = WINDOW_S + CONNECT_S / 2
    spent = sum(budget.spend(SERVICE_ID, 1, now_s) for _ in range(9))
    assert spent == RETRIES
