"""What the log tells of a caller's request without a whole response."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from loguru import logger

from catkinreach_core.ids import Incarnation, VmId
from catkinreach_node.config.state import FleetState
from catkinreach_node.http.client import HttpClient
from catkinreach_node.http.connection_end import (
    ConnectionEnd,
    UnansweredRequest,
)
from catkinreach_node.session.accept import AcceptStage
from catkinreach_node.session.engine_answers import Holder
from catkinreach_node.session.engine_client import EngineClient
from catkinreach_node.session.interfaces import UnlimitedGrant
from catkinreach_node.session.model import ModelStage
from catkinreach_node.session.plain import PlainForwarder, PlainStage
from catkinreach_node.session.unanswered import UnansweredRequests
from catkinreach_node.telemetry.hop_recorder import HopRecorder
from catkinreach_standins.fakes.http_servers import running_server
from catkinreach_standins.fakes.model_runs import ScriptedScheduler
from catkinreach_standins.fakes.sessions import (
    load_example_fleet,
    read_example_fleet,
)
from catkinreach_standins.platform.deployment import eventually

if TYPE_CHECKING:
    from collections.abc import Iterator

    from catkinreach_node.http.messages import HttpResponse
    from catkinreach_node.session.context import SessionContext
    from catkinreach_node.session.interfaces import LimitGrant

WITHIN_S = 10.0
TRACE = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01'
REQUEST = (
    f'GET /bee/status HTTP/1.1\r\nhost: a\r\ntraceparent: {TRACE}\r\n\r\n'
).encode()


class WaitingLimiter:
    """Admits no request in the time of a test."""

    def __init__(self) -> None:
        """Starts without a request."""
        self.request_ids: list[str] = []

    async def admit(self, session: SessionContext, tokens: int) -> LimitGrant:
        """Keeps the request's id and waits."""
        del tokens
        self.request_ids.append(session.request_id)
        await asyncio.sleep(WITHIN_S)
        return UnlimitedGrant()


class NoOrders:
    """Runs no order."""

    async def serve(self, session: SessionContext) -> HttpResponse:
        """Fails the test."""
        raise AssertionError(session)


def _accept_stage(limiter: WaitingLimiter, hops: HopRecorder) -> AcceptStage:
    text = read_example_fleet().replace('access = keyed', 'access = open')
    state = FleetState()
    state.accept_settings(load_example_fleet(text), text)
    client = HttpClient()
    engines = EngineClient(client, Holder(VmId('vm-1'), Incarnation('i')))
    return AcceptStage(
        state,
        ModelStage(ScriptedScheduler(None), limiter, engines, hops),
        PlainStage(PlainForwarder(client, hops), limiter, NoOrders()),
        hops,
    )


@pytest.fixture
def logged_lines() -> Iterator[list[str]]:
    """Collects the warnings in the log of the process."""
    lines: list[str] = []
    sink = logger.add(lines.append, level='WARNING', format='{message}')
    yield lines
    logger.remove(sink)


def test_request_whose_caller_left_is_logged_without_its_id(
    logged_lines: list[str],
) -> None:
    limiter = WaitingLimiter()
    hops = HopRecorder.untraced()

    async def is_served() -> bool:
        return bool(limiter.request_ids)

    async def is_logged() -> bool:
        return bool(logged_lines)

    async def run() -> None:
        serve = _accept_stage(limiter, hops).serve
        note = UnansweredRequests(hops.metrics).note
        async with running_server(serve, on_unanswered=note) as (_, address):
            _, writer = await asyncio.open_connection(
                address.host, address.port
            )
            writer.write(REQUEST)
            await eventually(is_served, within_s=WITHIN_S)
            writer.close()
            await eventually(is_logged, within_s=WITHIN_S)

    asyncio.run(run())
    (line,) = logged_lines
    (request_id,) = limiter.request_ids
    assert f'(client-closed) to request {request_id} (trace {TRACE})' in line


def test_request_that_was_not_read_is_logged_as_one(
    logged_lines: list[str],
) -> None:
    unanswered = UnansweredRequest(
        ConnectionEnd.NO_REQUEST, None, waited_s=1.0, has_begun=False
    )
    UnansweredRequests(HopRecorder.untraced().metrics).note(unanswered)
    assert '(no-request) to a request that was not read' in logged_lines[0]
