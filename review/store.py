"""Stand-in of the platform's store: ``/kv-range`` and ``/kv-watch``."""

from __future__ import annotations

import asyncio
import json
from base64 import b64encode
from contextlib import suppress
from urllib.parse import parse_qsl, urlsplit

from .wire import encode_head, read_body, read_head

PAGE_ITEMS = 500


class Store:
    """Keys under one revision, with the history of all changes."""

    def __init__(self, host: str) -> None:
        """Starts empty; it doesn't listen yet."""
        self.host = host
        self.port = 0
        self._items: dict[str, dict[str, object]] = {}
        self._events: list[dict[str, object]] = []
        self._revision = 100
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stops listening."""
        if self._server is not None:
            self._server.close()

    def put(self, key: str, value: object) -> None:
        """Writes a key; bytes as they are, anything else as JSON."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._revision += 1
        item = {
            'key': key,
            'value': b64encode(data).decode(),
            'revision': self._revision,
            'create-rev': self._revision,
            'lease': 0,
        }
        self._items[key] = item
        self._append(item)

    def remove(self, key: str) -> None:
        """Removes a key."""
        self._revision += 1
        self._items.pop(key, None)
        self._append({'key': key, 'revision': self._revision, 'removed': True})

    def _append(self, event: dict[str, object]) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with suppress(OSError, asyncio.CancelledError):
            while (request := await read_head(reader)) is not None:
                await read_body(reader, request)
                url = urlsplit(request.target)
                query = dict(parse_qsl(url.query))
                if url.path == '/kv-range':
                    document = self._range(query)
                else:
                    document = await self._watch(query)
                body = json.dumps(document).encode()
                headers = {
                    'Content-Type': 'application/json',
                    'Content-Length': len(body),
                }
                writer.write(encode_head('HTTP/1.1 200 OK', headers) + body)
                await writer.drain()
        writer.close()

    def _range(self, query: dict[str, str]) -> dict[str, object]:
        prefix, after = query.get('prefix', ''), query.get('after', '')
        items = [
            item
            for key, item in sorted(self._items.items())
            if key.startswith(prefix) and key > after
        ]
        return {
            'items': items[:PAGE_ITEMS],
            'has-more': len(items) > PAGE_ITEMS,
            'current-rev': self._revision,
        }

    async def _watch(self, query: dict[str, str]) -> dict[str, object]:
        prefix, after = query.get('prefix', ''), int(query['after'])
        wait_s = int(query.get('wait-ms', '0')) / 1000
        with suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while not self._events_after(prefix, after):
                    await self._changed.wait()
        return {
            'events': self._events_after(prefix, after),
            'current-rev': self._revision,
        }

    def _events_after(self, prefix: str, after: int) -> list[dict[str, object]]:
        return [
            event
            for event in self._events
            if event['revision'] > after and event['key'].startswith(prefix)
        ]
