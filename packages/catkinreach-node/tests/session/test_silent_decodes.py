"""A silent engine keeps its stream until another one can take it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from catkinreach_core.cell.retry_budget import RETRY_RESERVE, RetryBudget
from catkinreach_core.errors import ErrorKind
from catkinreach_core.ids import UpstreamId
from catkinreach_node.session import attempt, model, takeover
from catkinreach_standins.fakes.model_runs import (
    END_CHUNKS,
    FIRST,
    OTHER,
    TEST_LIMIT_S,
    TOKENS,
    ScriptedScheduler,
    engine_script,
    run_model,
    token_chunks,
)

if TYPE_CHECKING:
    from catkinreach_standins.fakes.scripted_upstream import Script

ADDED = UpstreamId('added-later')
STALL_S = 0.12
SILENCE_S = 0.6
MAX_SILENCE_S = 1.0
SILENT_AT_FIRST = engine_script(SILENCE_S, token_chunks(0, 4), END_CHUNKS)
SILENT_MIDWAY = engine_script(
    token_chunks(0, 2), SILENCE_S, token_chunks(2, 4), END_CHUNKS
)
NOT_CLOSED = engine_script(
    token_chunks(0, 4), END_CHUNKS.removesuffix(b'0\r\n\r\n'), TEST_LIMIT_S
)
REFUSING = engine_script(
    head=b'HTTP/1.1 503 scripted\r\ncontent-length: 0\r\n\r\n'
)
STALLED = engine_script(token_chunks(0, 2), TEST_LIMIT_S)


class ContestedBudget(RetryBudget):
    """A budget whose rest is spent by other requests after each retry."""

    def try_spend(self, *retries: int) -> bool:
        """Spends the retries, then the rest."""
        has_spent = super().try_spend(*retries)
        while has_spent and super().try_spend():
            pass
        return has_spent


@pytest.fixture(autouse=True)
def short_limits(monkeypatch: pytest.MonkeyPatch) -> None:
    """Makes silences short."""
    monkeypatch.setattr(attempt, 'TOKEN_STALL_S', STALL_S)
    monkeypatch.setattr(model, 'RETRY_BUDGET_TIMEOUT_S', STALL_S)
    monkeypatch.setattr(takeover, 'MAX_SILENCE_S', MAX_SILENCE_S, raising=False)


@pytest.mark.parametrize('script', [SILENT_AT_FIRST, SILENT_MIDWAY])
def test_stream_is_lost_when_no_other_engine_exists(
    script: Script,
) -> None:
    # The only engine's stream was closed before it went on.
    outcome = run_model(ScriptedScheduler(None), script, has_other=False)
    assert outcome.error is None
    assert outcome.tokens == list(TOKENS)
    assert len(outcome.scheduler.granted) == 1


@pytest.mark.parametrize('script', [SILENT_AT_FIRST, SILENT_MIDWAY])
@pytest.mark.parametrize(
    ('next_decode', 'wait_s'), [(None, 0.0), (OTHER, SILENCE_S), (FIRST, 0.0)]
)
def test_stream_is_lost_when_other_engines_are_full(
    next_decode: UpstreamId | None, wait_s: float, script: Script
) -> None:
    # Others were asked only after the healthy engine's stream was closed.
    outcome = run_model(ScriptedScheduler(next_decode, wait_s), script)
    assert outcome.error is None
    assert outcome.tokens == list(TOKENS)
    assert outcome.first_paths == ['/v1/import', '/v1/decode']
    assert outcome.scheduler.granted[0].kept_count == 1
    assert not outcome.scheduler.live


def test_stream_is_lost_without_retry_budget() -> None:
    # The healthy engine's stream was closed although no retry was allowed.
    budget = RetryBudget(share=0.0, reserve=0.0)
    outcome = run_model(ScriptedScheduler(OTHER), SILENT_MIDWAY, budget=budget)
    assert outcome.error is None
    assert outcome.tokens == list(TOKENS)


@pytest.mark.parametrize('script', [SILENT_AT_FIRST, SILENT_MIDWAY])
@pytest.mark.parametrize(
    ('retries', 'kept_count'), [(1.0, 0), (2.0, 1), (RETRY_RESERVE, 1)]
)
def test_stream_is_lost_when_the_other_engine_is_unreachable(
    retries: float, kept_count: int, script: Script
) -> None:
    # The healthy engine's stream was closed once the other was reserved.
    budget = RetryBudget(share=0.0, reserve=retries)
    outcome = run_model(
        ScriptedScheduler(OTHER), script, is_other_open=False, budget=budget
    )
    assert outcome.error is None
    assert outcome.tokens == list(TOKENS)
    assert outcome.scheduler.granted[0].kept_count == kept_count
    assert budget.tokens == retries
    assert not outcome.scheduler.live


@pytest.mark.parametrize('script', [SILENT_AT_FIRST, SILENT_MIDWAY])
@pytest.mark.parametrize('retries', [1.0, 2.0])
def test_stream_is_lost_when_the_other_engine_refuses_it(
    retries: float, script: Script
) -> None:
    # The last retry was spent on the other engine; none was left to return.
    budget = ContestedBudget(share=0.0, reserve=retries)
    scheduler = ScriptedScheduler(OTHER, instead=(FIRST,))
    outcome = run_model(scheduler, script, REFUSING, budget=budget)
    assert outcome.error is None
    assert outcome.tokens == list(TOKENS)
    assert not outcome.scheduler.live


def test_stream_is_lost_when_the_other_engine_was_added_later() -> None:
    # The request's settings don't have it, and all later attempts fail.
    outcome = run_model(ScriptedScheduler(ADDED), SILENT_MIDWAY)
    assert outcome.error is None
    assert outcome.tokens == list(TOKENS)


# Each search would end at the added engine, though another one is free.
def test_stalled_stream_waits_beside_an_added_engine() -> None:
    outcome = run_model(ScriptedScheduler(ADDED, instead=(OTHER,)), STALLED)
    assert outcome.error is None
    assert outcome.tokens == list(TOKENS)
    assert outcome.took_s < MAX_SILENCE_S
    assert not outcome.scheduler.live


def test_retry_for_the_return_is_given_back() -> None:
    budget = RetryBudget(share=0.0, reserve=2.0)
    outcome = run_model(ScriptedScheduler(OTHER), STALLED, budget=budget)
    assert outcome.tokens == list(TOKENS)
    assert budget.tokens == 1.0


def test_stalled_stream_is_resumed_on_another_engine() -> None:
    outcome = run_model(ScriptedScheduler(OTHER), STALLED)
    assert outcome.error is None
    assert outcome.tokens == list(TOKENS)
    assert outcome.first_paths[-1] == '/v1/cancel'
    assert outcome.took_s < MAX_SILENCE_S
    assert not outcome.scheduler.live


def test_whole_answer_waits_for_the_end_of_its_stream() -> None:
    # Other engines were sought, though nothing was missing.
    scheduler = ScriptedScheduler(OTHER, SILENCE_S)
    outcome = run_model(scheduler, NOT_CLOSED)
    assert outcome.error is None
    assert outcome.tokens == list(TOKENS)
    assert outcome.took_s < SILENCE_S
    assert len(scheduler.granted) == 1


@pytest.mark.parametrize('has_other', [True, False])
def test_stalled_stream_without_another_engine_ends(*, has_other: bool) -> None:
    outcome = run_model(ScriptedScheduler(None), STALLED, has_other=has_other)
    assert outcome.error is not None
    assert outcome.error.kind is ErrorKind.UPSTREAM_FAILED
    assert outcome.tokens == list(TOKENS[:2])
    assert outcome.took_s >= MAX_SILENCE_S
    assert not outcome.scheduler.live
