"""An engine that is silent while it imports keeps the attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from catkinreach_node.session import attempt, engine_client, model, takeover
from catkinreach_standins.fakes.model_runs import (
    END_CHUNKS,
    JSON_ANSWERS,
    OTHER,
    STREAM_HEAD,
    TEST_LIMIT_S,
    TOKENS,
    ScriptedScheduler,
    engine_script,
    run_model,
    token_chunks,
)
from catkinreach_standins.fakes.scripted_upstream import encode_response

if TYPE_CHECKING:
    from collections.abc import Sequence

    from catkinreach_standins.fakes.scripted_upstream import Script, Step

IMPORT_S = 0.12
SILENCE_S = 0.5
MAX_SILENCE_S = 1.0
WHOLE = engine_script(token_chunks(0, 4), END_CHUNKS)


def _silent_import(silence_s: float) -> Script:
    def script(path: str, _: int) -> Sequence[Step]:
        if path == '/v1/import':
            return (silence_s, encode_response(JSON_ANSWERS[path]))
        if path == '/v1/decode':
            return (STREAM_HEAD, token_chunks(0, 4), END_CHUNKS)
        return (encode_response(JSON_ANSWERS[path]),)

    return script


@pytest.fixture(autouse=True)
def short_limits(monkeypatch: pytest.MonkeyPatch) -> None:
    """Makes silences short."""
    monkeypatch.setattr(engine_client, 'IMPORT_BASE_TIMEOUT_S', IMPORT_S)
    monkeypatch.setattr(engine_client, 'IMPORT_TIMEOUT_PER_PIECE_S', 0.0)
    monkeypatch.setattr(model, 'RETRY_BUDGET_TIMEOUT_S', IMPORT_S)
    monkeypatch.setattr(takeover, 'MAX_SILENCE_S', MAX_SILENCE_S)
    monkeypatch.setattr(attempt, 'MAX_SILENCE_S', MAX_SILENCE_S)


@pytest.mark.parametrize('has_other', [True, False])
def test_import_is_given_up_when_no_other_engine_can_go_on(
    *, has_other: bool
) -> None:
    # The request failed, though its healthy engine was about to go on.
    outcome = run_model(
        ScriptedScheduler(None), _silent_import(SILENCE_S), has_other=has_other
    )
    assert outcome.error is None
    assert outcome.tokens == list(TOKENS)
    assert outcome.first_paths == ['/v1/import', '/v1/decode']
    assert not outcome.scheduler.live


def test_stalled_import_goes_on_at_another_engine() -> None:
    outcome = run_model(
        ScriptedScheduler(OTHER), _silent_import(TEST_LIMIT_S), WHOLE
    )
    assert outcome.error is None
    assert outcome.tokens == list(TOKENS)
    assert outcome.took_s < MAX_SILENCE_S
    assert not outcome.scheduler.live


@pytest.mark.parametrize('has_other', [True, False])
def test_stalled_import_without_another_engine_ends(*, has_other: bool) -> None:
    outcome = run_model(
        ScriptedScheduler(None),
        _silent_import(TEST_LIMIT_S),
        has_other=has_other,
    )
    assert outcome.error is not None
    assert outcome.took_s < TEST_LIMIT_S / 2
    assert not outcome.scheduler.live
