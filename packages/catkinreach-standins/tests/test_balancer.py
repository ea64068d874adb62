"""Tests of the balancer in front of plain services."""

from __future__ import annotations

import asyncio

from catkinreach_standins.balancer import Balancer
from catkinreach_standins.http_client import send_request
from catkinreach_standins.plain import PlainService
from catkinreach_standins.process import LOOPBACK


async def _collect_serving_names(count: int) -> list[str]:
    services = [PlainService('first'), PlainService('second')]
    for service in services:
        await service.start(LOOPBACK, 0)
    closed_server = await asyncio.start_server(lambda *_: None, LOOPBACK, 0)
    closed_port = closed_server.sockets[0].getsockname()[1]
    closed_server.close()
    ports = [closed_port, *(service.port for service in services)]
    balancer = Balancer([f'{LOOPBACK}:{port}' for port in ports])
    await balancer.start(LOOPBACK, 0)
    address = f'{LOOPBACK}:{balancer.port}'
    responses = [
        await send_request(address, 'GET', '/path') for _ in range(count)
    ]
    await balancer.close()
    return [response.json()['service'] for response in responses]


def test_round_robin_skips_unreachable_backend() -> None:
    names = asyncio.run(_collect_serving_names(6))
    assert names == ['first', 'first', 'second'] * 2
