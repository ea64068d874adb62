"""Tests of an engine over its HTTP calls."""

from __future__ import annotations

import asyncio
import json
import os
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import msgspec
import pytest

from catkinreach_standins import engine_model
from catkinreach_standins.answer import expected_token
from catkinreach_standins.engine import Engine
from catkinreach_standins.engine_options import EngineOptions
from catkinreach_standins.http_client import ClientResponse, send_request
from catkinreach_standins.process import LOOPBACK

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

PROMPT = list(range(3000))
HOLDER = {'vm': 'vm-1', 'incarnation': 'one'}
FAST = EngineOptions(time_scale=0.01, export_lifetime_s=500, places=1)


class _Pair:
    """A prefill and a decode engine."""

    def __init__(self, prefill: Engine, decode: Engine) -> None:
        self.prefill_address = f'{LOOPBACK}:{prefill.port}'
        self.decode_address = f'{LOOPBACK}:{decode.port}'

    async def prefill(self, request_id: str) -> dict[str, Any]:
        payload = {
            'request_id': request_id,
            'holder': HOLDER,
            'model': 'model',
            'prompt': PROMPT,
            'priority': 0,
        }
        answer = await send_request(
            self.prefill_address, 'POST', '/v1/prefill', payload=payload
        )
        assert answer.headers['x-engine-boot']
        outcome: dict[str, Any] = answer.json()
        return outcome

    async def bring(self, request_id: str, export_id: str) -> ClientResponse:
        payload = {
            'request_id': request_id,
            'holder': HOLDER,
            'source': self.prefill_address,
            'export_id': export_id,
        }
        return await send_request(
            self.decode_address, 'POST', '/v1/import', payload=payload
        )

    def decode_body(
        self, request_id: str, import_id: str, **more: int
    ) -> dict[str, Any]:
        return {
            'request_id': request_id,
            'holder': HOLDER,
            'model': 'model',
            'import_id': import_id,
            'max_tokens': 8,
            **more,
        }

    async def decode(
        self, request_id: str, import_id: str, **more: int
    ) -> ClientResponse:
        body = self.decode_body(request_id, import_id, **more)
        return await send_request(
            self.decode_address, 'POST', '/v1/decode', payload=body
        )

    async def prepare(self, request_id: str) -> str:
        export_id = (await self.prefill(request_id))['export_id']
        answer = await self.bring(request_id, export_id)
        import_id: str = answer.json()['import_id']
        return import_id

    async def get(self, path: str) -> dict[str, Any]:
        answer = await send_request(self.decode_address, 'GET', path)
        report: dict[str, Any] = answer.json()
        return report


@asynccontextmanager
async def _pair(options: EngineOptions) -> AsyncIterator[_Pair]:
    engines = [Engine(options), Engine(options)]
    for engine in engines:
        await engine.start(LOOPBACK, 0)
    try:
        yield _Pair(*engines)
    finally:
        for engine in engines:
            await engine.close()


def _run(
    scenario: Callable[[_Pair], Awaitable[None]],
    options: EngineOptions = FAST,
) -> None:
    async def run() -> None:
        async with asyncio.timeout(20), _pair(options) as pair:
            await scenario(pair)

    asyncio.run(run())


def _events(answer: ClientResponse) -> list[dict[str, Any]]:
    lines = answer.body.decode().split('\n\n')
    return [json.loads(line.removeprefix('data: ')) for line in lines if line]


def test_decode_streams_the_expected_answer_from_skip() -> None:
    async def scenario(pair: _Pair) -> None:
        import_id = await pair.prepare('request')
        events = _events(await pair.decode('request', import_id, skip=3))
        assert events[:-1] == [
            {'index': index, 'token': expected_token(PROMPT, index)}
            for index in range(3, 8)
        ]
        assert events[-1] == {
            'done': True,
            'finish': 'length',
            'completion_tokens': 8,
        }
        assert not (await pair.get('/v1/holdings'))['holdings']

    _run(scenario)


def test_second_prefill_finds_the_prefix_cached() -> None:
    async def scenario(pair: _Pair) -> None:
        assert (await pair.prefill('first'))['cached_tokens'] == 0
        assert (await pair.prefill('second'))['cached_tokens'] == 2816

    _run(scenario)


def test_unknown_export_is_gone() -> None:
    async def scenario(pair: _Pair) -> None:
        assert (await pair.bring('request', 'no-such')).status == 410

    _run(scenario)


def test_export_expires() -> None:
    async def scenario(pair: _Pair) -> None:
        export_id = (await pair.prefill('request'))['export_id']
        assert (await pair.bring('request', export_id)).status == 410

    _run(scenario, msgspec.structs.replace(FAST, export_lifetime_s=0.0))


def test_import_without_memory_is_refused() -> None:
    async def scenario(pair: _Pair) -> None:
        export_id = (await pair.prefill('request'))['export_id']
        assert (await pair.bring('request', export_id)).status == 200
        assert (await pair.bring('request', export_id)).status == 503

    _run(scenario, msgspec.structs.replace(FAST, kv_pieces=2))


def test_abandoned_decode_keeps_its_place_until_cancelled() -> None:
    async def scenario(pair: _Pair) -> None:
        abandoned = await pair.prepare('abandoned')
        other = await pair.prepare('other')
        await _start_and_leave(pair, abandoned)
        assert (await pair.decode('other', other)).status == 503
        kinds = [
            held['kind']
            for held in (await pair.get('/v1/holdings'))['holdings']
        ]
        assert sorted(kinds) == ['decode', 'import']
        answer = await send_request(
            pair.decode_address,
            'POST',
            '/v1/cancel',
            payload={'request_id': 'abandoned'},
        )
        assert answer.json() == {'released': 1}
        assert (await pair.decode('other', other)).status == 200

    _run(scenario)


async def _start_and_leave(pair: _Pair, import_id: str) -> None:
    host, _, port = pair.decode_address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    body = json.dumps(
        pair.decode_body('abandoned', import_id, max_tokens=1_000_000)
    ).encode()
    head = f'POST /v1/decode HTTP/1.1\r\nhost: e\r\ncontent-length: {len(body)}'
    writer.write(head.encode() + b'\r\n\r\n' + body)
    await reader.readuntil(b'data: ')
    writer.close()
    await writer.wait_closed()


@pytest.mark.parametrize(('fencing', 'status'), [(True, 409), (False, 200)])
def test_old_fence(fencing: bool, status: int) -> None:  # noqa: FBT001
    async def scenario(pair: _Pair) -> None:
        order = {'kind': 'load-model', 'target': 'new', 'version': '2'}
        answers = [
            await send_request(
                pair.decode_address,
                'POST',
                '/v1/orders',
                payload={**order, 'fence': fence},
            )
            for fence in (5, 4)
        ]
        assert [answer.status for answer in answers] == [200, status]
        assert (await pair.get('/v1/state'))['fence'] == 5

    _run(scenario, msgspec.structs.replace(FAST, fencing=fencing))


def test_restart_changes_boot_and_frees_memory() -> None:
    async def scenario(pair: _Pair) -> None:
        await pair.prepare('request')
        before = (await pair.get('/v1/load'))['boot']
        await send_request(
            pair.decode_address,
            'POST',
            '/standin/faults',
            payload={'restart_boot': True},
        )
        assert (await pair.get('/v1/load'))['boot'] != before
        assert not (await pair.get('/v1/holdings'))['holdings']

    _run(scenario)


def test_poison_token_crashes(monkeypatch: pytest.MonkeyPatch) -> None:
    codes: list[int] = []

    def record_exit(code: int) -> None:
        codes.append(code)

    monkeypatch.setattr(os, '_exit', record_exit)

    async def scenario(pair: _Pair) -> None:
        await pair.prefill('request')

    _run(scenario, msgspec.structs.replace(FAST, poison_token=PROMPT[7]))
    assert codes == [engine_model.CRASH_EXIT_CODE]
