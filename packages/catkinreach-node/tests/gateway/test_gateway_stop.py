"""Requests that a gateway has when it stops, or that arrive together then."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from catkinreach_core.gateway.load_table import UpstreamLoad
from catkinreach_core.ids import ServiceId, UpstreamId
from catkinreach_standins.platform.config import HOST, KEY, MODEL_SERVICE
from catkinreach_standins.platform.deployment import (
    eventually,
    running_deployment,
)
from catkinreach_standins.platform.upstream_behaviour import Behaviour

if TYPE_CHECKING:
    from catkinreach_node.gateway.node import Node
    from catkinreach_standins.platform.deployment import Deployment

STOP_TIMEOUT_S = 2.5
DEADLINE_MS = '9000'
FULL_TOKENS = 59_500
REPORT_INTERVAL_S = 0.1
REQUEST = (
    'GET /read/ HTTP/1.1\r\nhost: {host}\r\nauthorization: Bearer {key}\r\n'
    'request-id: {id}\r\ndeadline-ms: 3000\r\n\r\n'
)


def _call_patiently(
    deployment: Deployment, path: str, method: str
) -> asyncio.Future[tuple[int, bytes]]:
    """Sends a request whose caller waits for longer than the grace."""
    request = deployment.make_request(
        path, method=method, token_count='1000,100'
    )
    request.headers[:] = [
        (name, DEADLINE_MS if name == 'deadline-ms' else text)
        for name, text in request.headers
    ]
    return asyncio.ensure_future(
        deployment.client.call_raw(deployment.caller_address, request)
    )


@pytest.mark.parametrize(
    ('path', 'method'), [('/read/', 'GET'), ('/order/', 'POST')]
)
def test_request_taken_before_the_stop_gets_no_answer(
    path: str, method: str
) -> None:
    # Only requests taken after the signal had to end within the grace.
    async def run() -> int:
        async with running_deployment() as (deployment, gateway):
            for name in ('a', 'b'):
                deployment.upstreams[name].script.extend([Behaviour.HANG] * 9)
            calling = _call_patiently(deployment, path, method)
            await eventually(lambda: _has_received(deployment), within_s=1.0)
            gateway.stop()
            async with asyncio.timeout(STOP_TIMEOUT_S):
                status, _ = await calling
            return status

    assert asyncio.run(run()) == 504


def test_request_queued_before_the_stop_gets_no_answer() -> None:
    # It was in no engine, and could have been refused with a promise.
    async def run() -> int:
        async with running_deployment() as (deployment, gateway):
            node = gateway._node
            reporting = asyncio.ensure_future(_report_full_engines(node))

            async def is_queued() -> bool:
                return node.wait_queues.of(ServiceId(MODEL_SERVICE)).count > 0

            await asyncio.sleep(0)
            calling = _call_patiently(deployment, '/stream/', 'POST')
            await eventually(is_queued, within_s=1.0)
            gateway.stop()
            async with asyncio.timeout(STOP_TIMEOUT_S):
                status, _ = await calling
            reporting.cancel()
            return status

    assert asyncio.run(run()) == 503


async def _report_full_engines(node: Node) -> None:
    """Keeps reporting, as a peer, that the decode engines are full."""
    full = UpstreamLoad(running=1, memory_tokens=FULL_TOKENS)
    loads = {UpstreamId(name): full for name in 'de'}
    while True:
        node.loads.set_peer_loads('peer', loads, node.clock())
        await asyncio.sleep(REPORT_INTERVAL_S)


async def _has_received(deployment: Deployment) -> bool:
    return any(upstream.received for upstream in deployment.upstreams.values())


def test_pipelined_request_is_lost_when_the_gateway_stops() -> None:
    # The gateway announced the close although another request had arrived.
    async def run() -> bytes:
        async with running_deployment() as (deployment, gateway):
            address = deployment.caller_address
            reader, writer = await asyncio.open_connection(
                address.host, address.port
            )
            gateway.stop()
            for number in range(2):
                text = REQUEST.format(host=HOST, key=KEY, id=f'p{number}')
                writer.write(text.encode())
            received = b''
            async with asyncio.timeout(STOP_TIMEOUT_S):
                while chunk := await reader.read(65_536):
                    received += chunk
            writer.close()
            return received

    assert asyncio.run(run()).count(b' 200 ') == 2


LATE_STREAM = (
    'POST /stream/ HTTP/1.1\r\nhost: {host}\r\nauthorization: Bearer {key}\r\n'
    'request-id: late\r\ndeadline-ms: 3000\r\ntoken-count: 1000,100\r\n'
    'content-length: 6\r\n\r\npro'
)
EVENT_GAP_S = 0.3
LATE_S = 1.2
"""Time after the stop at which the body of a stream's request is whole."""


def test_stream_that_comes_late_in_the_grace_is_cut_at_its_end() -> None:
    # It was passed on, and its caller got some events and a closed connection.
    async def run() -> bytes:
        async with running_deployment() as (deployment, gateway):
            for name in 'de':
                deployment.upstreams[name].event_gap_s = EVENT_GAP_S
            address = deployment.caller_address
            reader, writer = await asyncio.open_connection(
                address.host, address.port
            )
            writer.write(LATE_STREAM.format(host=HOST, key=KEY).encode())
            await asyncio.sleep(REPORT_INTERVAL_S)
            gateway.stop()
            await asyncio.sleep(LATE_S)
            writer.write(b'mpt')
            received = b''
            async with asyncio.timeout(STOP_TIMEOUT_S):
                while chunk := await reader.read(65_536):
                    received += chunk
            writer.close()
            assert not any(
                deployment.upstreams[name].received for name in 'pde'
            )
            return received

    received = asyncio.run(run())
    assert b' 503 ' in received
    assert b'draining' in received


def test_stream_that_comes_early_in_the_grace_is_refused() -> None:
    async def run() -> int:
        async with running_deployment() as (deployment, gateway):
            gateway.stop()
            request = deployment.make_request(
                '/stream/', method='POST', token_count='1000,100'
            )
            status, _ = await deployment.client.call_raw(
                deployment.caller_address, request
            )
            return status

    assert asyncio.run(run()) == 200
