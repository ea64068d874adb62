"""A response that an upstream writes once more answers no other request."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

import pytest

from catkinreach_core.ids import RequestId
from catkinreach_node.http.client import HttpClient
from catkinreach_standins.fakes.engine_calls import (
    make_engine_at,
    make_engine_client,
)
from catkinreach_standins.fakes.plain_calls import (
    ORDER_PATH,
    READ_PATH,
    read_plain,
    run_order,
)
from catkinreach_standins.fakes.scripted_upstream import (
    Step,
    encode_response,
    scripted_upstream,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

    from catkinreach_core.settings.node import Address

REFUSAL = encode_response(b'{"error":"full"}', status=503)
PREFILL_BODY = (
    b'{"export_id":"%d","prompt_tokens":1,"cached_tokens":0,'
    b'"kv_pieces":1,"expires_in_s":1}'
)
IMPORT_BODY = b'{"import_id":"%d","kv_pieces":1}'
DECODE_BODY = (
    b'data: {"index":0,"token":"%d"}\n\n'
    b'data: {"done":true,"finish":"length","completion_tokens":1}\n\n'
)
BODIES = {
    '/v1/prefill': PREFILL_BODY,
    '/v1/import': IMPORT_BODY,
    '/v1/decode': DECODE_BODY,
    READ_PATH: b'%d',
    ORDER_PATH: b'%d',
}


class RepeatingScript:
    """Numbers its responses; writes an earlier one before a later one."""

    def __init__(self, *, repeats_refusal: bool) -> None:
        """Repeats a refusal, or the response before."""
        self._repeats_refusal = repeats_refusal
        self._numbers = itertools.count()

    def __call__(self, path: str, earlier_count: int) -> Sequence[Step]:
        """Returns the response, after an earlier one on a kept connection."""
        number = next(self._numbers)
        response = encode_response(BODIES[path] % number)
        if not earlier_count:
            return (response,)
        if self._repeats_refusal:
            return (REFUSAL, response)
        return (encode_response(BODIES[path] % (number - 1)), response)


async def _prefill(client: HttpClient, address: Address) -> str:
    prefilled = await make_engine_client(client).prefill(
        make_engine_at(address), RequestId('r'), 'model', (1,)
    )
    return prefilled.export_id


async def _import(client: HttpClient, address: Address) -> str:
    engine = make_engine_at(address)
    imported = await make_engine_client(client).import_kv(
        engine, RequestId('r'), engine, 'export'
    )
    return imported.import_id


async def _decode(client: HttpClient, address: Address) -> str:
    async with make_engine_client(client).decode(
        make_engine_at(address), RequestId('r'), 'model', 'import', max_tokens=1
    ) as batches:
        return ''.join(
            [event.token async for events in batches for event in events]
        )


@pytest.mark.parametrize('repeats_refusal', [True, False])
@pytest.mark.parametrize(
    'call', [_prefill, _import, _decode, read_plain, run_order]
)
def test_repeated_response_answers_the_next_request(
    call: Callable[[HttpClient, Address], Awaitable[str]],
    *,
    repeats_refusal: bool,
) -> None:
    # Responses name no request; an earlier one on a kept connection was taken.
    async def scenario() -> list[str]:
        script = RepeatingScript(repeats_refusal=repeats_refusal)
        client = HttpClient()
        async with scripted_upstream(script) as (_, address):
            answers = [await call(client, address) for _ in range(3)]
            client.close()
        return answers

    assert asyncio.run(scenario()) == ['0', '1', '2']
