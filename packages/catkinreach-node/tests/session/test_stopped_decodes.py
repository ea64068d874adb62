"""Engines that stop before a decode begins, and stay connected."""

from __future__ import annotations

import pytest

from catkinreach_core.errors import ErrorKind
from catkinreach_node.session import attempt, model, takeover
from catkinreach_standins.fakes.model_runs import (
    END_CHUNKS,
    OTHER,
    STREAM_HEAD,
    TEST_LIMIT_S,
    TOKENS,
    ScriptedScheduler,
    engine_script,
    run_model,
    token_chunks,
)
from catkinreach_standins.fakes.scripted_upstream import (
    encode_response,
)

STALL_S = 0.12
MAX_SILENCE_S = 0.6
PAUSE_S = 3 * TEST_LIMIT_S
REFUSAL = encode_response(b'{"error":"no-place"}', status=503)
STOPS = [b'', STREAM_HEAD[:20], STREAM_HEAD[:-2], REFUSAL[:-9]]


@pytest.fixture(autouse=True)
def short_limits(monkeypatch: pytest.MonkeyPatch) -> None:
    """Makes silences short."""
    monkeypatch.setattr(attempt, 'TOKEN_STALL_S', STALL_S)
    monkeypatch.setattr(model, 'RETRY_BUDGET_TIMEOUT_S', STALL_S)
    monkeypatch.setattr(takeover, 'MAX_SILENCE_S', MAX_SILENCE_S)


# The caller waited for ever, though another engine was sound.
@pytest.mark.parametrize('head', STOPS)
def test_stopped_decode_is_waited_for(head: bytes) -> None:
    stopped = engine_script(PAUSE_S, head=head)
    whole = engine_script(token_chunks(0, 4), END_CHUNKS)
    outcome = run_model(ScriptedScheduler(OTHER), stopped, whole)
    assert outcome.error is None
    assert outcome.tokens == list(TOKENS)
    assert not outcome.scheduler.live


@pytest.mark.parametrize('head', STOPS)
def test_stopped_decode_without_another_engine_has_no_end(head: bytes) -> None:
    stopped = engine_script(PAUSE_S, head=head)
    outcome = run_model(ScriptedScheduler(None), stopped, has_other=False)
    assert outcome.error is not None
    assert outcome.error.kind is ErrorKind.UPSTREAM_FAILED


def test_late_decode_is_given_up() -> None:
    late = engine_script(
        3 * STALL_S, STREAM_HEAD, token_chunks(0, 4), END_CHUNKS, head=b''
    )
    outcome = run_model(ScriptedScheduler(None), late, has_other=False)
    assert outcome.error is None
    assert outcome.tokens == list(TOKENS)
    assert len(outcome.scheduler.granted) == 1
