"""Bodies within the limits, of many callers at once, at one node."""

from __future__ import annotations

import asyncio
import re
from collections import Counter
from typing import TYPE_CHECKING, Final

from catkinreach_node import app
from catkinreach_node.http.body_memory import MAX_BYTES
from catkinreach_node.http.client import HttpClient
from catkinreach_node.http.messages import HttpRequest
from catkinreach_standins.fakes.node_apps import (
    make_node_settings,
    running_node,
)

if TYPE_CHECKING:
    import pytest

    from catkinreach_core.settings.node import Address
    from catkinreach_node.app import NodeApp

CLIENTS: Final = 36
BODY_BYTES: Final = 4 * 1024 * 1024 - 1024
CHUNK_BYTES: Final = 128 * 1024
CHUNK_GAP_S: Final = 0.02
GAUGE: Final = re.compile(r'catkinreach_body_memory_bytes (\S+)')
STATUS_LINE: Final = re.compile(rb'HTTP/1.1 (\d{3})')


async def _send_large(address: Address) -> int:
    """Returns the status of a request with a large body; 0 without one."""
    reader, writer = await asyncio.open_connection(address.host, address.port)
    head = (
        'POST /v1/completions HTTP/1.1\r\nHost: node\r\n'
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


def _used_bytes(node: NodeApp) -> float:
    found = GAUGE.search(node.exposition())
    assert found is not None
    return float(found.group(1))


# Nothing told how much of the memory the bodies took.
def test_bodies_of_callers_take_all_memory(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(app, 'READINESS_NOTICE_S', 0.01)
    settings = make_node_settings()
    used_bytes: list[float] = []

    async def run() -> Counter[int]:
        client = HttpClient()
        async with running_node(settings) as node:
            await asyncio.sleep(CHUNK_GAP_S)
            large = asyncio.gather(
                *(_send_large(settings.caller_address) for _ in range(CLIENTS))
            )
            while not large.done():
                used_bytes.append(_used_bytes(node))
                # Refused for want of settings, but not for want of memory.
                _, body = await client.call_raw(
                    settings.caller_address,
                    HttpRequest('POST', '/v1/completions', body=b'{}'),
                )
                assert b'config-missing' in body
                await asyncio.sleep(CHUNK_GAP_S)
            statuses = Counter(await large)
            assert _used_bytes(node) == 0
            client.close()
        return statuses

    statuses = asyncio.run(run())
    assert set(statuses) <= {0, 503}
    assert statuses[503]
    assert MAX_BYTES / 2 < max(used_bytes) <= MAX_BYTES
