"""VMs that are replaced one after the other by those of another build."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

import pytest

from catkinreach_node.http.client import HttpClient
from catkinreach_node.http.connection import ConnectError, ExchangeError
from catkinreach_standins.platform.builds import LANDINGS, ROOT
from catkinreach_standins.platform.processes import running_fronts
from catkinreach_standins.platform.upstream import EVENT_COUNT

if TYPE_CHECKING:
    from pathlib import Path

    from catkinreach_node.http.messages import HttpRequest
    from catkinreach_standins.platform.deployment import Deployment
    from catkinreach_standins.platform.processes import FrontProcess

FRONTS = 3
PAUSE_S = 0.02
SETTLE_S = 0.5
REFUSALS = frozenset({429, 503})


class _Caller:
    """Calls one front on kept connections, and counts what comes of it."""

    def __init__(self, deployment: Deployment, front: FrontProcess) -> None:
        self._deployment = deployment
        self._front = front
        self._client = HttpClient()
        self.statuses: Counter[int] = Counter()
        self.is_stopping = False
        self.cut = 0

    async def run(self) -> None:
        """Calls until it is cancelled."""
        try:
            while True:
                for request in self._requests():
                    await self._call(request)
                    await asyncio.sleep(PAUSE_S)
        finally:
            self._client.close()

    def _requests(self) -> list[HttpRequest]:
        make_request = self._deployment.make_request
        return [
            make_request('/read/'),
            make_request('/order/', method='POST', body=b'x'),
            make_request(
                '/stream/', method='POST', body=b'p', token_count='300,100'
            ),
        ]

    async def _call(self, request: HttpRequest) -> None:
        try:
            status, body = await self._client.call_raw(
                self._front.caller_address, request
            )
        except ConnectError:
            return
        except ExchangeError:
            # A request may cross the close of an idle connection.
            self.cut += not self.is_stopping
            return
        self.statuses[status] += 1
        if status == 200 and request.path == '/stream/':
            assert body.count(b'\n\n') == EVENT_COUNT


async def _replace(front: FrontProcess, caller: _Caller, build: Path) -> None:
    """Stops a front and starts it from another checkout."""
    caller.is_stopping = True
    assert await front.stop() == 0
    front.build = build
    await front.start()
    caller.is_stopping = False
    await asyncio.sleep(SETTLE_S)


# An upgrade, and the way back, beside callers that go on all the while.
@pytest.mark.parametrize('landing', LANDINGS[1:])
def test_replaced_fronts_answer_in_full(
    tmp_path: Path, earlier_builds: tuple[Path, ...], landing: str
) -> None:
    async def run() -> None:
        earlier = earlier_builds[LANDINGS.index(landing)]
        async with running_fronts(FRONTS, tmp_path, build=earlier) as (
            deployment,
            fronts,
        ):
            callers = [_Caller(deployment, front) for front in fronts]
            calling = [asyncio.ensure_future(one.run()) for one in callers]
            for build in (ROOT, earlier):
                for front, caller in zip(fronts, callers, strict=True):
                    await _replace(front, caller, build)
            for task in calling:
                task.cancel()
            ended = await asyncio.gather(*calling, return_exceptions=True)
            assert all(
                isinstance(one, asyncio.CancelledError) for one in ended
            ), ended
            for front, caller in zip(fronts, callers, strict=True):
                assert caller.statuses[200]
                assert caller.statuses.keys() <= {200, *REFUSALS}
                assert not caller.cut
                assert 'Traceback' not in front.log

    asyncio.run(run())
