"""Stand-in of the platform's key-value store.

It serves the two calls that a gateway makes, ``/kv-range`` and ``/kv-watch``;
tests write its keys directly.
"""

from __future__ import annotations

import asyncio
from base64 import b64encode
from dataclasses import dataclass, replace
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
FIRST_ERA = 1


class StoreFault(Enum):
    """Fault that affects every call to the store."""

    NONE = 'none'
    BUSY = 'busy'
    """Every call is answered with 503."""

    RATE_LIMITED = 'many'
    """Every call is answered with 429."""

    RESET = 'reset'
    """Connections are aborted without a response."""

    SILENT = 'silent'
    """Calls are never answered, nor are watches that wait already."""


@dataclass(frozen=True, slots=True)
class _Event:
    """A write of a key, or its removal if there is no value."""

    key: str
    revision: int
    value: bytes | None

    def document(self) -> dict[str, object]:
        """Returns the event in its wire form."""
        if self.value is None:
            return {'key': self.key, 'revision': self.revision, 'removed': True}
        return {
            'key': self.key,
            'value': b64encode(self.value).decode(),
            'revision': self.revision,
            'create-rev': self.revision,
            'lease': 0,
        }


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """What the store held at a moment, to be restored later."""

    latest_events: dict[str, _Event]
    events: list[_Event]
    oldest_revision: int
    revision: int


async def wait_forever() -> None:
    """Waits until it is cancelled: a call that is never answered."""
    await asyncio.Event().wait()


async def apply_fault(fault: StoreFault) -> Response | None:
    """Returns the response that a fault gives to a call; ``None`` for none.

    Raises:
        ConnectionAbort: if the fault resets connections.
    """
    if fault is StoreFault.SILENT:
        await wait_forever()
    if fault is StoreFault.RESET:
        raise ConnectionAbort
    if fault is StoreFault.BUSY:
        return error_response(503, 'busy')
    if fault is StoreFault.RATE_LIMITED:
        return error_response(429, 'too many calls')
    return None


class StoreStandin:
    """Serves keys under one store-wide revision, with a history of changes.

    After a compaction a watch from an older revision is answered with 410. So
    is one from a revision that isn't given out yet, as after a restored copy.

    Attributes:
        fault: Fault that affects calls until it is changed.
        era: Number in all responses, which a restored copy raises by one;
            ``None`` for no such header.
        calls: Paths of all calls, in the order of their arrival.
    """

    def __init__(self) -> None:
        """Creates an empty store that doesn't listen yet."""
        self.fault = StoreFault.NONE
        self.era: int | None = FIRST_ERA
        self.calls: list[str] = []
        self._server = HttpServer(self.handle_request)
        self._latest_events: dict[str, _Event] = {}
        self._events: list[_Event] = []
        self._oldest_revision = 0
        self._revision = 10
        self._changed = asyncio.Event()

    @property
    def port(self) -> int:
        """Returns the port of the listening socket."""
        return self._server.port

    async def start(self, port: int = 0) -> None:
        """Listens on the loopback interface; port 0 picks a free port."""
        await self._server.start('127.0.0.1', port)

    async def close(self) -> None:
        """Stops the server."""
        await self._server.close()

    def put(self, key: str, document: object) -> None:
        """Writes a key; bytes are stored as they are, others as JSON."""
        is_raw = isinstance(document, bytes)
        value = document if is_raw else msgspec.json.encode(document)
        assert isinstance(value, bytes)  # noqa: S101 - narrows the type
        self._append(_Event(key, self._revision + 1, value))

    def remove(self, key: str) -> None:
        """Removes a key."""
        self._append(_Event(key, self._revision + 1, None))

    def compact(self) -> None:
        """Drops the history; pending watches are answered with 410."""
        self._events.clear()
        self._oldest_revision = self._revision + 1
        self._revision += 1
        self._notify_watches()

    def copy(self) -> StoreCopy:
        """Returns a copy of the state and its history."""
        return StoreCopy(
            latest_events=dict(self._latest_events),
            events=list(self._events),
            oldest_revision=self._oldest_revision,
            revision=self._revision,
        )

    def restore(self, copy: StoreCopy) -> None:
        """Goes back to a copy; its next revisions are given out again.

        Watches that wait already are woken, as at a change.
        """
        self._latest_events = dict(copy.latest_events)
        self._events = list(copy.events)
        self._oldest_revision = copy.oldest_revision
        self._revision = copy.revision
        self.era = (self.era or 0) + 1
        self._notify_watches()

    def write_again(self, lost: StoreCopy, copy: StoreCopy) -> None:
        """Writes what a restore lost, as the operator and the engines do.

        Args:
            lost: Copy from just before the restore.
            copy: The copy that was restored.
        """
        for key in sorted(lost.latest_events.keys() | copy.latest_events):
            before = lost.latest_events.get(key)
            restored = copy.latest_events.get(key)
            is_written_since = self._latest_events.get(key) is not restored
            if before is restored or is_written_since:
                continue
            value = None if before is None else before.value
            self._append(_Event(key, self._revision + 1, value))

    def with_era(self, response: Response) -> Response:
        """Returns a response with the header that names the era."""
        if self.era is None:
            return response
        headers = {**response.headers, 'store-era': str(self.era)}
        return replace(response, headers=headers)

    def _append(self, event: _Event) -> None:
        self._revision = event.revision
        self._events.append(event)
        if event.value is None:
            self._latest_events.pop(event.key, None)
        else:
            self._latest_events[event.key] = event
        self._notify_watches()

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle_request(self, request: Request) -> Response:
        """Serves a call, at whichever address it came in."""
        response = await self._serve(request)
        return self.with_era(response)

    async def _serve(self, request: Request) -> Response:
        self.calls.append(request.path)
        fault_response = await apply_fault(self.fault)
        if fault_response is not None:
            return fault_response
        if request.path == '/kv-range':
            return self._serve_range(request)
        if request.path == '/kv-watch':
            return await self._serve_watch(request)
        return error_response(404, 'unknown path')

    def _serve_range(self, request: Request) -> Response:
        prefix = request.query.get('prefix', '')
        items = [
            event.document()
            for key, event in sorted(self._latest_events.items())
            if key.startswith(prefix) and key > request.query.get('after', '')
        ]
        return json_response(
            {
                'items': items[:PAGE_ITEMS],
                'has-more': len(items) > PAGE_ITEMS,
                'current-rev': self._revision,
            }
        )

    async def _serve_watch(self, request: Request) -> Response:
        after = int(request.query['after'])
        wait_s = int(request.query['wait-ms']) / MS_PER_S
        deadline_s = asyncio.get_running_loop().time() + wait_s
        while True:
            if not self._oldest_revision <= after <= self._revision:
                return error_response(410, 'no history from this revision on')
            events = [
                change for change in self._events if change.revision > after
            ]
            remaining_s = deadline_s - asyncio.get_running_loop().time()
            if events or remaining_s <= 0:
                if self.fault is StoreFault.SILENT:
                    await wait_forever()
                return json_response(
                    {
                        'events': [event.document() for event in events],
                        'current-rev': self._revision,
                    }
                )
            try:
                async with asyncio.timeout(remaining_s):
                    await self._changed.wait()
            except TimeoutError:
                continue


__all__ = ('StoreCopy', 'StoreFault', 'StoreStandin', 'apply_fault')
