"""Tests of the balancer in front of plain services."""

from __future__ import annotations

import asyncio

from catkinreach_standins.balancer import Balancer
from catkinreach_standins.http_client import send_request
from catkinreach_standins.plain import PlainService
from catkinreach_standins.process import LOOPBACK


async def _served_by(count: int) -> list[str]:
    services = [PlainService('first'), PlainService('second')]
    for service in services:
        await service.start(LOOPBACK, 0)
    unused = await asyncio.start_server(lambda *_: None, LOOPBACK, 0)
    dead_port = unused.sockets[0].getsockname()[1]
    unused.close()
    ports = [dead_port, *(service.port for service in services)]
    balancer = Balancer([f'{LOOPBACK}:{port}' for port in ports])
    await balancer.start(LOOPBACK, 0)
    address = f'{LOOPBACK}:{balancer.port}'
    answers = [
        await send_request(address, 'GET', '/path') for _ in range(count)
    ]
    await balancer.close()
    return [answer.json()['service'] for answer in answers]


def test_round_robin_skips_a_dead_backend() -> None:
    names = asyncio.run(_served_by(6))
    assert names == ['first', 'first', 'second'] * 2
