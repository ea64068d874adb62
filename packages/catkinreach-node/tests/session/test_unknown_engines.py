"""Engines that were added after a request was accepted."""

from __future__ import annotations

from typing import TYPE_CHECKING

from catkinreach_core.errors import ErrorKind
from catkinreach_core.ids import UpstreamId
from catkinreach_node.session import attempt, takeover
from catkinreach_standins.fakes import model_runs
from catkinreach_standins.fakes.model_runs import (
    END_CHUNKS,
    OTHER,
    TOKENS,
    ScriptedScheduler,
    engine_script,
    run_model,
    token_chunks,
)

if TYPE_CHECKING:
    import pytest

STALL_S = 0.12
MAX_SILENCE_S = 1.0
NEW = UpstreamId('added-later')
NEWER = UpstreamId('added-last')
WHOLE = engine_script(token_chunks(0, 4), END_CHUNKS)
BROKEN = engine_script(token_chunks(0, 2))
CLOSED = engine_script(token_chunks(0, 2), b'0\r\n\r\n')


# The caller got 500: the request's settings don't have the engine.
def test_request_placed_on_an_added_engine_fails(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(model_runs, 'FIRST', NEW)
    outcome = run_model(ScriptedScheduler(OTHER), WHOLE, WHOLE)
    assert outcome.error is None
    assert outcome.tokens == list(TOKENS)
    assert not outcome.scheduler.live


# The engine is silent for good, but accepts connections: until the longest
# silence it may still be a sound one.
def test_stream_resumed_on_an_added_engine_fails(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(attempt, 'TOKEN_STALL_S', STALL_S)
    monkeypatch.setattr(takeover, 'MAX_SILENCE_S', MAX_SILENCE_S)
    outcome = run_model(ScriptedScheduler(NEW), BROKEN)
    assert outcome.error is not None
    assert outcome.error.kind is ErrorKind.UPSTREAM_FAILED
    assert outcome.tokens == list(TOKENS[:2])
    assert outcome.took_s >= MAX_SILENCE_S
    assert not outcome.scheduler.live


# All attempts were spent on two added engines in turn.
def test_broken_stream_is_lost_beside_two_added_engines() -> None:
    outcome = run_model(ScriptedScheduler(NEW, instead=(NEWER, OTHER)), CLOSED)
    assert outcome.error is None
    assert outcome.tokens == list(TOKENS)
    assert not outcome.scheduler.live


def test_prefill_on_an_added_engine_fails(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(model_runs, 'PREFILL', NEW)
    outcome = run_model(ScriptedScheduler(OTHER), WHOLE)
    assert outcome.error is not None
    assert outcome.error.kind is ErrorKind.UPSTREAM_FAILED
