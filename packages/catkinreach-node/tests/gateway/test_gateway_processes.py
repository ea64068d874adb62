"""Front processes as they are deployed: a roll, and lines for on-call work."""

from __future__ import annotations

import asyncio
import json
import signal
from collections import Counter
from typing import TYPE_CHECKING

from catkinreach_node.http.client import ConnectError, ExchangeError, HttpClient
from catkinreach_standins.platform.config import OTHER_KEY
from catkinreach_standins.platform.processes import running_fronts
from catkinreach_standins.platform.upstream import EVENT_COUNT, Behaviour

if TYPE_CHECKING:
    from pathlib import Path

    from catkinreach_node.http.messages import HttpRequest
    from catkinreach_standins.platform.deployment import Deployment
    from catkinreach_standins.platform.processes import FrontProcess

FRONTS = 3
CALLERS = 6
PAUSE_S = 0.02
CALL_TIMEOUT_S = 8.0
ARRIVES_AFTER_S = 1.0
"""Time after SIGTERM; with its deadline the request outlives the grace."""


class Traffic:
    """Callers that go on until they are stopped, as the platform's do.

    Each keeps to a front VM that is ready. A refusal that promises that
    nothing ran is repeated; anything else that isn't an answer is a failure.
    """

    def __init__(
        self, deployment: Deployment, fronts: list[FrontProcess]
    ) -> None:
        """Prepares the callers."""
        self._deployment = deployment
        self._fronts = fronts
        self._is_over = False
        self.answered: Counter[str] = Counter()
        self.failures: list[str] = []
        self.order_ids: list[str] = []

    def stop(self) -> None:
        """Lets every caller end after its call."""
        self._is_over = True

    async def run(self) -> None:
        """Calls until stopped."""
        callers = [self._call_on(number) for number in range(CALLERS)]
        await asyncio.gather(*callers)

    async def _call_on(self, number: int) -> None:
        client = HttpClient()
        kind = ('read', 'order', 'stream')[number % 3]
        while not self._is_over:
            front = self._fronts[number % len(self._fronts)]
            if not await front.is_ready():
                number += 1
                continue
            await self._admitted(client, front, kind)
            await asyncio.sleep(PAUSE_S)
        client.close()

    async def _admitted(
        self, client: HttpClient, front: FrontProcess, kind: str
    ) -> None:
        request = self._deployment.request(
            f'/{kind}/',
            key=OTHER_KEY,
            method='GET' if kind == 'read' else 'POST',
            body=b'' if kind == 'read' else b'body',
            token_count='500,100',
        )
        if kind == 'order':
            self.order_ids.append(request.header('request-id') or '')
        try:
            await self._exchange(client, front, request, kind)
        except ConnectError:
            return
        except (ExchangeError, TimeoutError) as error:
            self.failures.append(f'{kind}: {error!r}')

    async def _exchange(
        self,
        client: HttpClient,
        front: FrontProcess,
        request: HttpRequest,
        kind: str,
    ) -> None:
        async with (
            asyncio.timeout(CALL_TIMEOUT_S),
            client.exchange(front.front, request, is_fresh=True) as response,
        ):
            body = await response.read()
        if response.status != 200:
            self.failures.append(f'{kind}: {response.status} {body!r}')
        elif kind == 'stream' and body.count(b'id: ') != EVENT_COUNT:
            self.failures.append(f'{kind}: {body!r}')
        self.answered[kind] += 1


def test_rolling_restart_fails_no_request(tmp_path: Path) -> None:
    async def run() -> None:
        async with running_fronts(FRONTS, tmp_path) as (deployment, fronts):
            traffic = Traffic(deployment, fronts)
            running = asyncio.ensure_future(traffic.run())
            for front in fronts:
                assert await front.stop() == 0
                await front.start()
            traffic.stop()
            await running
            assert not traffic.failures
            assert set(traffic.answered) == {'read', 'order', 'stream'}
            runs = [
                sum(up.runs[one] for up in deployment.upstreams.values())
                for one in traffic.order_ids
            ]
            assert max(runs) == 1

    asyncio.run(run())


def test_request_that_arrives_while_stopping_is_answered(
    tmp_path: Path,
) -> None:
    async def run() -> None:
        async with running_fronts(1, tmp_path) as (deployment, fronts):
            for name in 'ab':
                deployment.upstreams[name].script.append(Behaviour.HANG)
            fronts[0].send_signal(signal.SIGTERM)
            await asyncio.sleep(ARRIVES_AFTER_S)
            request = deployment.request('/order/', method='POST', body=b'x')
            client = HttpClient()
            async with client.exchange(fronts[0].front, request) as response:
                await response.read()
            assert response.status == 504

    asyncio.run(run())


def test_cause_of_a_failure_is_found_in_the_log(tmp_path: Path) -> None:
    async def run() -> None:
        async with running_fronts(FRONTS, tmp_path) as (deployment, fronts):
            for name in 'de':
                deployment.upstreams[name].script.append(Behaviour.BREAK)
            request = deployment.request(
                '/once/', method='POST', body=b'x', token_count='500,100'
            )
            client = HttpClient()
            try:
                async with client.exchange(
                    fronts[0].front, request
                ) as response:
                    await response.read()
            except ExchangeError:
                pass
            await asyncio.sleep(0.2)
            request_id = request.header('request-id')
            lines = map(json.loads, fronts[0].log.splitlines())
            story = [one for one in lines if one.get('request') == request_id]
            assert [one['event'] for one in story][:3] == [
                'placed',
                'send-failed',
                'failed',
            ]
            assert story[0]['version'] == 5
            assert story[1]['reason'] == 'broken'
            assert story[1]['upstream'] in {'d', 'e'}
            assert story[2]['after_event'] == 3

    asyncio.run(run())


def test_processes_hear_each_other(tmp_path: Path) -> None:
    async def run() -> None:
        async with running_fronts(FRONTS, tmp_path) as (_, fronts):
            await asyncio.sleep(1.0)
            for front in fronts:
                heard = [
                    json.loads(line)
                    for line in front.log.splitlines()
                    if '"peer-heard"' in line
                ]
                assert max(one['members'] for one in heard) == FRONTS

    asyncio.run(run())
