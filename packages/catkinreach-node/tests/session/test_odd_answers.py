"""An engine's answer that nests too deeply, or has numbers out of range."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

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
    TOKENS,
    ScriptedScheduler,
    engine_script,
    event_chunk,
    run_model,
    token_chunks,
)
from catkinreach_standins.fakes.scripted_upstream import (
    encode_response,
    scripted_upstream,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from catkinreach_core.settings.fleet import Upstream
    from catkinreach_node.session.engine_client import EngineClient

DEEP = '[' * 2_000 + ']' * 2_000
LONG = '9' * 400


def _prefill_answer(**changes: str) -> str:
    members = {
        'export_id': '"e"',
        'prompt_tokens': '1',
        'cached_tokens': '0',
        'kv_pieces': '1',
        'expires_in_s': '1',
        **changes,
    }
    text = ','.join(f'"{key}":{value}' for key, value in members.items())
    return f'{{{text}}}'


async def _prefill(engines: EngineClient, engine: Upstream) -> object:
    return await engines.prefill(engine, RequestId('r'), 'm', (1,))


async def _import(engines: EngineClient, engine: Upstream) -> object:
    return await engines.import_kv(engine, RequestId('r'), engine, 'e')


def _call(
    call: Callable[[EngineClient, Upstream], Awaitable[object]], body: str
) -> None:
    async def scenario() -> None:
        client = HttpClient()
        response = encode_response(body.encode())
        async with scripted_upstream(lambda *_: (response,)) as (_, address):
            await call(make_engine_client(client), make_engine_at(address))
        client.close()

    asyncio.run(scenario())


# The caller got 500, or messages about the request failed.
@pytest.mark.parametrize(
    ('call', 'body'),
    [
        (_prefill, _prefill_answer(more=DEEP)),
        (_prefill, _prefill_answer(kv_pieces=LONG)),
        (_prefill, _prefill_answer(kv_pieces='-1')),
        (_prefill, _prefill_answer(cached_tokens=LONG)),
        (_prefill, _prefill_answer(cached_tokens='-1')),
        (_prefill, _prefill_answer(prompt_tokens=LONG)),
        (_prefill, _prefill_answer(expires_in_s='1e300')),
        (_import, f'{{"import_id":"i","kv_pieces":1,"x":{DEEP}}}'),
        (_import, f'{{"import_id":"i","kv_pieces":{LONG}}}'),
    ],
)
def test_odd_answer_is_taken(
    call: Callable[[EngineClient, Upstream], Awaitable[object]], body: str
) -> None:
    with pytest.raises(EngineError):
        _call(call, body)


# The error of the decoder ended the request.
@pytest.mark.parametrize(
    'event',
    [
        f'{{"index":2,"token":"x","more":{DEEP}}}',
        f'{{"index":{LONG},"token":"x"}}',
        f'{{"done":true,"completion_tokens":{LONG}}}',
        '{"done":true,"completion_tokens":-1}',
    ],
)
def test_odd_event_ends_the_request(event: str) -> None:
    scheduler = ScriptedScheduler(OTHER)
    first = engine_script(token_chunks(0, 2), event_chunk(event))
    resumed = engine_script(token_chunks(0, 4), END_CHUNKS)
    outcome = run_model(scheduler, first, resumed)
    assert outcome.error is None
    assert outcome.tokens == list(TOKENS)
