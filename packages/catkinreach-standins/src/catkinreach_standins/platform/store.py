"""The platform's store, as far as a reader sees it."""

from __future__ import annotations

import asyncio
from base64 import b64encode
from dataclasses import dataclass
from enum import Enum

import msgspec

from ..http import (
    ConnectionAbort,
    HttpServer,
    Request,
    Response,
    error_response,
    json_response,
)

MS_PER_S = 1000
PAGE_ITEMS = 500


class StoreFault(Enum):
    """How the store misbehaves."""

    NONE = 'none'
    BUSY = 'busy'
    RATE_LIMITED = 'many'
    RESET = 'reset'
    SILENT = 'silent'


@dataclass(frozen=True, slots=True)
class _Event:
    key: str
    revision: int
    value: bytes | None

    def document(self) -> dict[str, object]:
        """Returns the event as it goes over the wire."""
        if self.value is None:
            return {'key': self.key, 'revision': self.revision, 'removed': True}
        return {
            'key': self.key,
            'value': b64encode(self.value).decode(),
            'revision': self.revision,
            'create-rev': self.revision,
            'lease': 0,
        }


class StoreStandin:
    """Keys, one revision and a history that can be compacted."""

    def __init__(self) -> None:
        """Starts empty."""
        self.fault = StoreFault.NONE
        self.calls: list[str] = []
        self._server = HttpServer(self._answer)
        self._items: dict[str, _Event] = {}
        self._events: list[_Event] = []
        self._oldest = 0
        self._revision = 10
        self._changed = asyncio.Event()

    @property
    def port(self) -> int:
        """Returns the port that it listens on."""
        return self._server.port

    async def start(self, port: int = 0) -> None:
        """Listens on loopback."""
        await self._server.start('127.0.0.1', port)

    async def close(self) -> None:
        """Stops to listen."""
        await self._server.close()

    def put(self, key: str, document: object) -> None:
        """Writes a JSON document, or bytes as they are."""
        is_raw = isinstance(document, bytes)
        value = document if is_raw else msgspec.json.encode(document)
        assert isinstance(value, bytes)  # noqa: S101 - narrows the type
        self._note(_Event(key, self._revision + 1, value))

    def remove(self, key: str) -> None:
        """Removes a key."""
        self._note(_Event(key, self._revision + 1, None))

    def compact(self) -> None:
        """Forgets all history; watches that wait are cut."""
        self._events.clear()
        self._oldest = self._revision + 1
        self._revision += 1
        self._wake()

    def _note(self, event: _Event) -> None:
        self._revision = event.revision
        self._events.append(event)
        if event.value is None:
            self._items.pop(event.key, None)
        else:
            self._items[event.key] = event
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _answer(self, request: Request) -> Response:
        self.calls.append(request.path)
        refusal = await self._refuse()
        if refusal is not None:
            return refusal
        if request.path == '/kv-range':
            return self._range(request)
        if request.path == '/kv-watch':
            return await self._watch(request)
        return error_response(404, 'no such call')

    async def _refuse(self) -> Response | None:
        if self.fault is StoreFault.SILENT:
            await asyncio.Event().wait()
        if self.fault is StoreFault.RESET:
            raise ConnectionAbort
        if self.fault is StoreFault.BUSY:
            return error_response(503, 'busy')
        if self.fault is StoreFault.RATE_LIMITED:
            return error_response(429, 'too many calls')
        return None

    def _range(self, request: Request) -> Response:
        prefix = request.query.get('prefix', '')
        items = [
            event.document()
            for key, event in sorted(self._items.items())
            if key.startswith(prefix) and key > request.query.get('after', '')
        ]
        return json_response(
            {
                'items': items[:PAGE_ITEMS],
                'has-more': len(items) > PAGE_ITEMS,
                'current-rev': self._revision,
            }
        )

    async def _watch(self, request: Request) -> Response:
        after = int(request.query['after'])
        wait_s = int(request.query['wait-ms']) / MS_PER_S
        deadline_s = asyncio.get_running_loop().time() + wait_s
        while True:
            if after < self._oldest:
                return error_response(410, 'history is gone')
            events = [one for one in self._events if one.revision > after]
            left_s = deadline_s - asyncio.get_running_loop().time()
            if events or left_s <= 0:
                return json_response(
                    {
                        'events': [event.document() for event in events],
                        'current-rev': self._revision,
                    }
                )
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                continue


__all__ = ('StoreFault', 'StoreStandin')
