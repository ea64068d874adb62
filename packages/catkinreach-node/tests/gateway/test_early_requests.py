"""Clients that send much beyond the requests that a front process serves."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from catkinreach_standins.platform.config import HOST, KEY
from catkinreach_standins.platform.processes import running_fronts
from catkinreach_standins.platform.upstream_behaviour import Behaviour

if TYPE_CHECKING:
    from pathlib import Path

    from catkinreach_standins.platform.processes import FrontProcess

CLIENTS: Final = 1200
MEMORY_KB: Final = 150_000
EARLY_BYTES: Final = 200_000
READ_S: Final = 2.0


async def _send_early(front: FrontProcess, number: int) -> asyncio.StreamWriter:
    """Sends a request, and at once a part of the next one."""
    address = front.caller_address
    _, writer = await asyncio.open_connection(address.host, address.port)
    head = (
        f'POST /order/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: e{number}\r\n'
        f'Authorization: Bearer {KEY}\r\nDeadline-Ms: 10000\r\n'
        'Content-Length: 1\r\n\r\nxPOST / HTTP/1.1\r\nx: '
    )
    writer.write(head.encode() + b'y' * EARLY_BYTES)
    return writer


# Each client was read ahead by 64 KiB, and the process passed its memory.
def test_early_requests_take_a_front_over_its_memory(tmp_path: Path) -> None:
    async def run() -> None:
        async with running_fronts(1, tmp_path) as (deployment, (front,)):
            for name in 'ab':
                deployment.upstreams[name].script.extend(
                    [Behaviour.HANG] * CLIENTS
                )
            writers = await asyncio.gather(
                *(_send_early(front, number) for number in range(CLIENTS))
            )
            await asyncio.sleep(READ_S)
            peak_kb = front.peak_memory_kb
            for writer in writers:
                writer.transport.abort()
            assert peak_kb < MEMORY_KB

    asyncio.run(run())
