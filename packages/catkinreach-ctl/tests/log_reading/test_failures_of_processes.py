"""Failures of real processes, explained from their logs and metrics.

Each test causes one kind of failure in a deployment of one front process and
checks the cause that the log reader derives and the metric that counts it.
Of the upstreams, a and b are plain, p is a prefill engine, d and e are decode
engines.
"""

from __future__ import annotations

import asyncio
import time
from contextlib import suppress
from typing import TYPE_CHECKING

import pytest

from catkinreach_ctl.log_reading.cause import Cause, cause_of
from catkinreach_ctl.log_reading.lines import read_lines
from catkinreach_ctl.log_reading.rendering import render_history
from catkinreach_ctl.log_reading.request_history import build_histories
from catkinreach_node.http.client import HttpClient
from catkinreach_node.http.connection import ExchangeError
from catkinreach_standins.platform.config import OTHER_API_KEY
from catkinreach_standins.platform.deployment import Deployment, eventually
from catkinreach_standins.platform.processes import running_fronts
from catkinreach_standins.platform.store import StoreFault
from catkinreach_standins.platform.upstream_behaviour import Behaviour

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from pathlib import Path

    from catkinreach_ctl.log_reading.request_history import RequestHistory
    from catkinreach_node.http.messages import HttpRequest
    from catkinreach_standins.platform.processes import FrontProcess

END_TIMEOUT_S = 3.0
STREAM_COUNT = 10
EVENT_GAP_S = 0.5
PAUSE_S = 30.0


def _run_scenario(
    folder: Path,
    scenario: Callable[[Deployment, FrontProcess], Awaitable[None]],
) -> None:
    async def run() -> None:
        async with running_fronts(1, folder) as (deployment, fronts):
            await scenario(deployment, fronts[0])

    asyncio.run(run())


async def _call_front(front: FrontProcess, request: HttpRequest) -> int:
    client = HttpClient()
    status = 0
    with suppress(ExchangeError):
        async with client.exchange(front.caller_address, request) as response:
            status = response.status
            await response.read()
    return status


async def _wait_for_history(
    front: FrontProcess, request: HttpRequest
) -> RequestHistory:
    request_id = request.header('request-id')

    def read_histories() -> list[RequestHistory]:
        lines = read_lines('front', front.log.encode().splitlines())
        return build_histories(
            (line for line in lines if line is not None), request_id
        )

    async def has_ended() -> bool:
        found = read_histories()
        return bool(found) and found[0].end is not None

    await eventually(has_ended, within_s=END_TIMEOUT_S)
    return read_histories()[0]


def _stream_request(
    deployment: Deployment, path: str, tokens: str
) -> HttpRequest:
    return deployment.make_request(
        path, method='POST', body=b'x', key=OTHER_API_KEY, token_count=tokens
    )


def test_refusal_for_lack_of_memory_has_cause_no_capacity(
    tmp_path: Path,
) -> None:
    async def scenario(deployment: Deployment, front: FrontProcess) -> None:
        for name in 'de':
            deployment.upstreams[name].event_gap_s = EVENT_GAP_S
        requests = [
            # Prompt and output tokens; an engine has memory for 60,000.
            _stream_request(deployment, '/stream/', '50000,1000')
            for _ in range(STREAM_COUNT)
        ]
        calls = [
            asyncio.create_task(_call_front(front, request))
            for request in requests
        ]
        statuses = await asyncio.gather(*calls)
        assert 503 in statuses
        refused = requests[statuses.index(503)]
        history = await _wait_for_history(front, refused)
        assert cause_of(history) is Cause.NO_CAPACITY
        assert 'tokens of memory' in '\n'.join(render_history(history))
        metrics = await front.read_metrics()
        assert 'status="503",code="queue-timeout"' in metrics

    _run_scenario(tmp_path, scenario)


def test_engine_disconnect_in_stream_has_cause_upstream_lost(
    tmp_path: Path,
) -> None:
    async def scenario(deployment: Deployment, front: FrontProcess) -> None:
        for name in 'de':
            deployment.upstreams[name].script.append(Behaviour.DISCONNECT)
        request = _stream_request(deployment, '/once/', '500,100')
        await _call_front(front, request)
        history = await _wait_for_history(front, request)
        assert cause_of(history) is Cause.UPSTREAM_LOST
        assert history.upstream_ids & {'d', 'e'}
        metrics = await front.read_metrics()
        assert 'catkinreach_failed_sends_total{kind="broken"} 1' in metrics

    _run_scenario(tmp_path, scenario)


def test_misdirected_request_has_cause_stale_view(tmp_path: Path) -> None:
    async def scenario(deployment: Deployment, front: FrontProcess) -> None:
        deployment.store.fault = StoreFault.RESET
        deployment.store.compact()
        for name in 'ab':
            deployment.upstreams[name].upstream_id = f'{name}-successor'
        request = deployment.make_request('/read/', key=OTHER_API_KEY)
        assert await _call_front(front, request) == 503
        history = await _wait_for_history(front, request)
        assert cause_of(history) is Cause.STALE_VIEW
        assert history.catalog is not None
        assert history.catalog.text('version') == '5'
        metrics = await front.read_metrics()
        assert 'catkinreach_failed_sends_total{kind="refused"}' in metrics
        assert 'catkinreach_upstreams_replaced' in metrics

    _run_scenario(tmp_path, scenario)


@pytest.mark.parametrize('path', ['/read/', '/stream/'])
def test_refusal_by_engines_that_leave_has_cause_no_capacity(
    path: str, tmp_path: Path
) -> None:
    async def scenario(deployment: Deployment, front: FrontProcess) -> None:
        for upstream in deployment.upstreams.values():
            upstream.availability.is_leaving = True
            upstream.availability.is_refusing = True
        assert await _cause_of_second(deployment, front, path) is (
            Cause.UPSTREAM_LEAVING
        )

    _run_scenario(tmp_path, scenario)


@pytest.mark.parametrize('path', ['/read/', '/stream/'])
def test_refusal_in_a_pause_of_all_engines_has_cause_no_capacity(
    path: str, tmp_path: Path
) -> None:
    async def scenario(deployment: Deployment, front: FrontProcess) -> None:
        for upstream in deployment.upstreams.values():
            upstream.availability.paused_until_s = time.monotonic() + PAUSE_S
        assert await _cause_of_second(deployment, front, path) is (
            Cause.UPSTREAM_PAUSED
        )

    _run_scenario(tmp_path, scenario)


async def _cause_of_second(
    deployment: Deployment, front: FrontProcess, path: str
) -> Cause:
    """Returns why the later of two requests was refused."""
    request = None
    for _ in range(2):
        request = (
            deployment.make_request(path, key=OTHER_API_KEY)
            if path == '/read/'
            else _stream_request(deployment, path, '500,100')
        )
        assert await _call_front(front, request) == 503
    assert request is not None
    return cause_of(await _wait_for_history(front, request))
