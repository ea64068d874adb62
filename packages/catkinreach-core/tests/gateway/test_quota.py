"""Rate and burst over all nodes without an owner.

Load pattern: one workspace sends several times its rate through all nodes.
"""

from __future__ import annotations

import pytest

from catkinreach_core.gateway.catalog import WorkspacePolicy
from catkinreach_core.gateway.quota import QuotaTable, WindowCount
from catkinreach_core.ids import WorkspaceId

WINDOW_S = 8.0
RATE = 100.0
BURST = 100.0
COST = 10.0
NODES = 9
LIMIT = RATE * WINDOW_S + BURST
HOT = WorkspacePolicy(
    workspace_id=WorkspaceId('hot'),
    rate=RATE,
    burst=BURST,
    counts_tokens=True,
    plain_cost=1,
    priority=None,
)


def _flood(*, told_each_s: float, silent: int) -> float:
    """Sends ten times the rate through all nodes for three windows.

    Returns:
        The most that was admitted in any window.
    """
    tables = [QuotaTable(window_s=WINDOW_S, slack=0.0) for _ in range(NODES)]
    told = [0.0] * NODES
    admitted = WindowCount(WINDOW_S)
    most = 0.0
    next_telling_s = 0.0
    for step in range(int(3 * WINDOW_S * RATE)):
        now_s = step * COST / (10 * RATE)
        if now_s >= next_telling_s and not silent:
            next_telling_s += told_each_s
            told = [sum(table.own_counts(now_s).values()) for table in tables]
        node = step % NODES
        heard = sum(told) - told[node]
        retry = tables[node].admit(
            HOT,
            COST,
            peer_cost=heard,
            silent_peers=silent,
            members=NODES,
            now_s=now_s,
        )
        if retry is None:
            admitted.add(COST, now_s)
        most = max(most, admitted.total(now_s))
    return most


def test_all_nodes_together_keep_the_limit() -> None:
    assert _flood(told_each_s=0.3, silent=0) <= LIMIT * 1.25


def test_nodes_that_hear_nobody_take_an_equal_share() -> None:
    assert _flood(told_each_s=0.3, silent=NODES - 1) <= LIMIT * 1.02


def test_a_workspace_inside_its_rate_is_never_refused() -> None:
    table = QuotaTable(window_s=WINDOW_S, slack=0.0)
    for step in range(500):
        assert (
            table.admit(
                HOT,
                RATE / 10,
                peer_cost=0.0,
                silent_peers=0,
                members=1,
                now_s=step / 10,
            )
            is None
        )


def test_refusal_tells_when_there_is_room() -> None:
    table = QuotaTable(window_s=WINDOW_S, slack=0.0)

    def ask(now_s: float) -> float | None:
        return table.admit(
            HOT, LIMIT, peer_cost=0.0, silent_peers=0, members=1, now_s=now_s
        )

    assert ask(0.0) is None
    retry_s = ask(3.0)
    assert retry_s == pytest.approx(5.0)
    assert ask(3.0 + 5.0) is None


def test_request_that_did_not_run_does_not_count() -> None:
    table = QuotaTable(window_s=WINDOW_S, slack=0.0)

    def ask() -> float | None:
        return table.admit(
            HOT, LIMIT, peer_cost=0.0, silent_peers=0, members=1, now_s=1.0
        )

    assert ask() is None
    assert ask() is not None
    table.refund(HOT.workspace_id, LIMIT, 1.0)
    assert ask() is None


def test_workspace_without_a_limit_is_admitted() -> None:
    table = QuotaTable(window_s=WINDOW_S, slack=0.0)
    terms = WorkspacePolicy(
        workspace_id=WorkspaceId('free'),
        rate=0,
        burst=0,
        counts_tokens=True,
        plain_cost=1,
        priority=None,
    )
    answer = table.admit(
        terms, 1e9, peer_cost=1e9, silent_peers=8, members=9, now_s=0.0
    )
    assert answer is None
