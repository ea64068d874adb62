"""Bodies within the limits, of many callers at once, at one node."""

from __future__ import annotations

import asyncio
import re
from collections import Counter
from contextlib import suppress
from typing import TYPE_CHECKING, Any, Final

from catkinreach_node import app
from catkinreach_node.http.body_memory import MAX_BYTES
from catkinreach_node.http.client import HttpClient
from catkinreach_node.http.connection import ConnectError
from catkinreach_node.http.messages import HttpRequest
from catkinreach_standins.fakes.node_apps import (
    make_node_settings,
    running_node,
)
from catkinreach_standins.platform.deployment import eventually

if TYPE_CHECKING:
    import pytest

    from catkinreach_core.settings.node import Address
    from catkinreach_node.app import NodeApp

CLIENTS: Final = 36
BODY_BYTES: Final = 4 * 1024 * 1024 - 1024
CHUNK_BYTES: Final = 128 * 1024
WITHIN_S: Final = 30.0
GAUGE: Final = re.compile(r'catkinreach_body_memory_bytes (\S+)')
STATUS_LINE: Final = re.compile(rb'HTTP/1.1 (\d{3})')


class LargeBody:
    """A request whose body stops one byte short until it is told to end."""

    def __init__(self, may_end: asyncio.Event) -> None:
        """Starts without an answer."""
        self._may_end = may_end
        self.status: int | None = None

    async def send(self, address: Address) -> None:
        """Sends the request and notes its status; 0 without one."""
        reader, writer = await asyncio.open_connection(
            address.host, address.port
        )
        reading = asyncio.ensure_future(reader.read(65_536))
        try:
            await self._write(writer, reading)
            found = STATUS_LINE.match(await reading)
        except OSError:
            found = None
        finally:
            reading.cancel()
            writer.close()
        self.status = int(found.group(1)) if found else 0

    async def _write(
        self, writer: asyncio.StreamWriter, reading: asyncio.Future[bytes]
    ) -> None:
        head = (
            'POST /v1/completions HTTP/1.1\r\nHost: node\r\n'
            f'Content-Length: {BODY_BYTES}\r\n\r\n'
        )
        writer.write(head.encode())
        left = BODY_BYTES - 1
        while left and not reading.done():
            writer.write(bytes(min(CHUNK_BYTES, left)))
            left -= min(CHUNK_BYTES, left)
            await writer.drain()
        may_end = asyncio.ensure_future(self._may_end.wait())
        ends: set[asyncio.Future[Any]] = {may_end, reading}
        await asyncio.wait(ends, return_when=asyncio.FIRST_COMPLETED)
        may_end.cancel()
        writer.write(b'.')


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

    async def run() -> Counter[int | None]:
        client = HttpClient()

        async def call_small() -> None:
            # Refused for want of settings, but not for want of memory.
            _, body = await client.call_raw(
                settings.caller_address,
                HttpRequest('POST', '/v1/completions', body=b'{}'),
            )
            assert b'config-missing' in body

        async def is_listening() -> bool:
            with suppress(ConnectError):
                await call_small()
                return True
            return False

        async def has_freed_memory() -> bool:
            return not _used_bytes(node)

        async with running_node(settings) as node:
            await eventually(is_listening, within_s=WITHIN_S)
            may_end = asyncio.Event()
            bodies = [LargeBody(may_end) for _ in range(CLIENTS)]
            sending = asyncio.gather(
                *(body.send(settings.caller_address) for body in bodies)
            )
            # Refused bodies show that the others hold all memory there is.
            while not any(body.status == 503 for body in bodies):
                used_bytes.append(_used_bytes(node))
                await call_small()
            held_bytes = _used_bytes(node)
            await call_small()
            may_end.set()
            await sending
            await eventually(has_freed_memory, within_s=WITHIN_S)
            client.close()
        assert MAX_BYTES / 2 < held_bytes <= MAX_BYTES
        return Counter(body.status for body in bodies)

    statuses = asyncio.run(run())
    assert set(statuses) <= {0, 503}
    assert statuses[503]
    assert MAX_BYTES / 2 < max(used_bytes) <= MAX_BYTES
