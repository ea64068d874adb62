"""Bodies within the limits, of many clients at once, at one front process."""

from __future__ import annotations

import asyncio
import re
import time
from collections import Counter
from typing import TYPE_CHECKING, Final

import pytest

from catkinreach_standins.platform.config import (
    HOST,
    KEY,
    make_config,
    make_limits,
)
from catkinreach_standins.platform.processes import running_fronts

if TYPE_CHECKING:
    from pathlib import Path

    from catkinreach_standins.platform.deployment import Deployment
    from catkinreach_standins.platform.processes import FrontProcess

BODY_BYTES: Final = 4 * 1024 * 1024 - 1024
CHUNK_BYTES: Final = 128 * 1024
CHUNK_GAP_S: Final = 0.05
MEMORY_KB: Final = 150_000
SMALL_TIME_S: Final = 2.5
STATUS_LINE: Final = re.compile(rb'HTTP/1.1 (\d{3})')


async def _send_large(front: FrontProcess, number: int) -> int:
    """Returns the status of a request with a large body; 0 without one."""
    address = front.caller_address
    reader, writer = await asyncio.open_connection(address.host, address.port)
    head = (
        f'POST /order/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: b{number}\r\n'
        f'Authorization: Bearer {KEY}\r\nDeadline-Ms: 10000\r\n'
        f'Content-Length: {BODY_BYTES}\r\n\r\n'
    )
    reading = asyncio.ensure_future(reader.read(65_536))
    try:
        writer.write(head.encode())
        for start in range(0, BODY_BYTES, CHUNK_BYTES):
            if reading.done():
                break
            writer.write(bytes(min(CHUNK_BYTES, BODY_BYTES - start)))
            await writer.drain()
            await asyncio.sleep(CHUNK_GAP_S)
        found = STATUS_LINE.match(await reading)
    except OSError:
        return 0
    finally:
        reading.cancel()
        writer.close()
    return int(found.group(1)) if found else 0


async def _send_small(
    deployment: Deployment,
    front: FrontProcess,
    large: asyncio.Future[list[int]],
) -> float:
    """Sends small requests while large ones run; returns the longest time."""
    longest_s = 0.0
    while not large.done():
        started_s = time.monotonic()
        status, _ = await deployment.client.call_raw(
            front.caller_address, deployment.make_request('/read/')
        )
        assert status == 200
        longest_s = max(longest_s, time.monotonic() - started_s)
        await asyncio.sleep(0.05)
    return longest_s


# The process passed its memory and was killed, with all requests.
@pytest.mark.parametrize(
    'clients', [36, 200, pytest.param(1000, marks=pytest.mark.long)]
)
def test_large_bodies_take_a_front_over_its_memory(
    tmp_path: Path, clients: int
) -> None:
    async def run() -> None:
        async with running_fronts(1, tmp_path) as (deployment, (front,)):
            limits = make_limits(**{'max-body-bytes': 4 * 1024 * 1024})
            deployment.store.put('op/config', make_config(7, limits=limits))
            await asyncio.sleep(0.5)
            large = asyncio.gather(
                *(_send_large(front, number) for number in range(clients))
            )
            longest_s = await _send_small(deployment, front, large)
            statuses = Counter(await large)
            assert front.peak_memory_kb < MEMORY_KB
            assert longest_s < SMALL_TIME_S
            assert statuses[200]
            assert set(statuses) <= {0, 200, 429, 502, 503, 504}

    asyncio.run(run())
