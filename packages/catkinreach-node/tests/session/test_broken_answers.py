"""An answer that breaks off is resumed, or doesn't look complete."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from catkinreach_core.errors import ErrorKind
from catkinreach_core.ids import RequestId
from catkinreach_node.http.client import HttpClient
from catkinreach_node.session.engine_answers import EngineError
from catkinreach_standins.fakes.engine_calls import (
    make_engine_at,
    make_engine_client,
)
from catkinreach_standins.fakes.model_runs import (
    END_CHUNKS,
    OTHER,
    STREAM_HEAD,
    TOKENS,
    ScriptedScheduler,
    engine_script,
    event_chunk,
    run_model,
    token_chunks,
)
from catkinreach_standins.fakes.scripted_upstream import (
    End,
    encode_response,
    scripted_upstream,
)

if TYPE_CHECKING:
    from catkinreach_standins.fakes.scripted_upstream import Step

LAST_CHUNK = b'0\r\n\r\n'
BEGUN = token_chunks(0, 2)
CUT_EVENT = token_chunks(2, 3)[:-9]
AFTER_GAP = token_chunks(3, 4)
MALFORMED = event_chunk('{"index":')
NO_EVENT = b'5\r\noops!\r\n' + LAST_CHUNK
WHOLE = token_chunks(0, 4) + END_CHUNKS
WITH_TOKEN_AFTER_END = (
    token_chunks(0, 4)
    + END_CHUNKS.removesuffix(LAST_CHUNK)
    + event_chunk('{"index":4,"token":"x"}')
    + LAST_CHUNK
)
REFUSAL = encode_response(b'{"error":"no-place"}', status=503)
ERROR_BODY = encode_response(b'data: {"index":2,"token":"x"}\n\n', status=500)


@pytest.mark.parametrize(
    'steps',
    [
        (BEGUN, CUT_EVENT, End.CLOSE),
        (BEGUN, CUT_EVENT, End.RESET),
        (BEGUN + CUT_EVENT, End.CLOSE),
        (BEGUN, LAST_CHUNK),
        (BEGUN, NO_EVENT),
        (BEGUN, MALFORMED),
        (BEGUN + MALFORMED,),
        (BEGUN, AFTER_GAP),
        (BEGUN + AFTER_GAP,),
        (BEGUN + END_CHUNKS,),
    ],
)
def test_tokens_before_a_broken_event_are_lost(steps: tuple[Step, ...]) -> None:
    # Tokens that came together with a broken event reached no caller.
    scheduler = ScriptedScheduler(OTHER)
    first = engine_script(*steps)
    resumed = engine_script(token_chunks(0, 4), END_CHUNKS)
    outcome = run_model(scheduler, first, resumed)
    assert outcome.error is None
    assert outcome.tokens == list(TOKENS)
    assert len(scheduler.granted) == 2


@pytest.mark.parametrize('head', [STREAM_HEAD[:20], STREAM_HEAD[:-2], b''])
def test_cut_head_is_no_stream(head: bytes) -> None:
    scheduler = ScriptedScheduler(OTHER)
    first = engine_script(End.CLOSE, head=head)
    outcome = run_model(scheduler, first, engine_script(WHOLE))
    assert outcome.error is None
    assert outcome.tokens == list(TOKENS)


@pytest.mark.parametrize('refusal', [REFUSAL, ERROR_BODY])
def test_refused_resumption_is_not_part_of_the_stream(refusal: bytes) -> None:
    scheduler = ScriptedScheduler(OTHER)
    first = engine_script(BEGUN, End.CLOSE)
    outcome = run_model(scheduler, first, engine_script(head=refusal))
    assert outcome.error is not None
    assert outcome.error.kind is ErrorKind.UPSTREAM_FAILED
    assert outcome.tokens == list(TOKENS[:2])


@pytest.mark.parametrize('steps', [(WITH_TOKEN_AFTER_END,), (WHOLE, End.RESET)])
def test_whole_answer_stays_whole(steps: tuple[Step, ...]) -> None:
    scheduler = ScriptedScheduler(OTHER)
    outcome = run_model(scheduler, engine_script(*steps))
    assert outcome.error is None
    assert outcome.tokens == list(TOKENS)
    assert len(scheduler.granted) == 1


@pytest.mark.parametrize('body', [b'', b'{"export_id":"e', b'{}', b'[1]'])
def test_malformed_prefill_answer_ends_the_request(body: bytes) -> None:
    # The error of the decoder ended the request; no other engine was tried.
    async def scenario() -> None:
        engines = make_engine_client(HttpClient())
        async with scripted_upstream(lambda *_: (encode_response(body),)) as (
            _,
            address,
        ):
            engine = make_engine_at(address)
            await engines.prefill(engine, RequestId('r'), 'm', (1,))

    with pytest.raises(EngineError):
        asyncio.run(scenario())
