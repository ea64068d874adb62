"""Read-only client of the platform's store: list and watch."""

from __future__ import annotations

import asyncio
from base64 import b64decode
from typing import TYPE_CHECKING, Annotated, Final, TypeVar
from urllib.parse import urlencode

import msgspec
from msgspec import Meta, Struct, field

from catkinreach_core.documents import DocumentError, decode_document
from catkinreach_core.gateway.feed import (
    CatalogPublished,
    Change,
    ChangeBatch,
    DomainEvacuated,
    DomainRestored,
    EntryUnreadable,
    HistoryLost,
    Listing,
    StoreUnavailable,
    UpstreamPublished,
    UpstreamRemoved,
)
from catkinreach_core.gateway.store_position import (
    MAX_ERA,
    MAX_STORE_REVISION,
    era_of,
    make_position,
    revision_of,
)
from catkinreach_core.ids import FailureDomainId, UpstreamId
from catkinreach_core.ranges import Revision as RevisionNumber

from ..http.client import MAX_BODY_BYTES, HttpClient
from ..http.connection import ConnectError, ExchangeError
from ..http.messages import HttpRequest
from .boot import MS_PER_S
from .catalog import read_catalog
from .registry import read_upstream

if TYPE_CHECKING:
    from catkinreach_core.ids import Revision
    from catkinreach_core.settings.node import Address

    from ..http.client import ClientResponse

ALL_KEYS_PREFIX: Final = ''
CONFIG_KEY: Final = 'op/config'
EVACUATED_PREFIX: Final = 'op/evacuate/'
UPSTREAM_PREFIX: Final = 'servers/'
ANSWER_TIMEOUT_S: Final = 2.0
"""Time beyond the long poll of a watch, or since the last part of an answer,
after which a call fails."""

STATUS_OK: Final = 200
STATUS_HISTORY_LOST: Final = 410
ERA_HEADER: Final = 'store-era'
MAX_ERA_DIGITS: Final = 9

_CurrentRevision = Annotated[int, Meta(ge=0, le=MAX_STORE_REVISION)]


class _Item(Struct, rename='kebab'):
    key: str
    value: str = ''
    revision: RevisionNumber = 0
    removed: bool = False


class _Page(Struct, rename='kebab'):
    items: list[_Item]
    current_rev: _CurrentRevision
    has_more: bool = False


class _Events(Struct, rename='kebab'):
    current_rev: _CurrentRevision
    events: list[_Item] = field(default_factory=list)


_Message = TypeVar('_Message')

_PAGE_DECODER = msgspec.json.Decoder(_Page)
_EVENTS_DECODER = msgspec.json.Decoder(_Events)


class StoreClient:
    """Lists and watches the store; owns the connections to it."""

    def __init__(self, address: Address) -> None:
        """Sets up the client of one store."""
        self._address = address
        self._http = HttpClient()
        self._call_count = 0
        self._received_bytes = 0

    @property
    def call_count(self) -> int:
        """Returns the number of calls made so far."""
        return self._call_count

    @property
    def received_bytes(self) -> int:
        """Returns the number of bytes of answers received so far."""
        return self._received_bytes

    def set_address(self, address: Address) -> None:
        """Lets later calls go to another address of the store."""
        self._address = address

    async def list_all(self) -> Listing:
        """Returns all published entries.

        Raises:
            StoreUnavailable: if it can't be read.
        """
        items: list[_Item] = []
        position: Revision | None = None
        has_more = True
        while has_more:
            query = {'prefix': ALL_KEYS_PREFIX}
            if items:
                query['after'] = items[-1].key
            try:
                era, body = await self._get(
                    '/kv-range', query, ANSWER_TIMEOUT_S
                )
            except HistoryLost as error:
                raise StoreUnavailable('a listing has no history') from error
            page = _decode(_PAGE_DECODER, body)
            _check_progress(page, items)
            # The pages aren't one snapshot; a watch from the first page's
            # revision also returns what changed between them.
            if position is None:
                position = make_position(era, page.current_rev)
            if era != era_of(position):
                raise StoreUnavailable('restored between two pages')
            items += page.items
            has_more = page.has_more and bool(page.items)
        changes = [change for item in items if (change := _parse_change(item))]
        return Listing(
            changes=changes, revision=position or make_position(0, 0)
        )

    async def watch(self, after: Revision, wait_s: float) -> ChangeBatch:
        """Returns the changes after a revision; waits for the first one.

        Raises:
            HistoryLost: if the store has compacted them, or was restored.
            StoreUnavailable: if it can't be read.
        """
        query = {
            'prefix': ALL_KEYS_PREFIX,
            'after': str(revision_of(after)),
            'wait-ms': str(int(wait_s * MS_PER_S)),
        }
        era, body = await self._get(
            '/kv-watch', query, wait_s + ANSWER_TIMEOUT_S
        )
        if era < era_of(after):
            raise StoreUnavailable('answer from before a restore')
        if era > era_of(after):
            raise HistoryLost
        events = _decode(_EVENTS_DECODER, body)
        changes = [
            change for item in events.events if (change := _parse_change(item))
        ]
        return ChangeBatch(
            changes=changes, revision=make_position(era, events.current_rev)
        )

    def close(self) -> None:
        """Closes the connections."""
        self._http.close()

    async def _get(
        self, path: str, query: dict[str, str], timeout_s: float
    ) -> tuple[int, bytes]:
        """Returns the store's era and the body of an answer."""
        self._call_count += 1
        request = HttpRequest('GET', f'{path}?{urlencode(query)}')
        try:
            async with (
                asyncio.timeout(timeout_s) as limit,
                self._http.exchange(self._address, request) as response,
            ):
                body = await self._read(response, limit)
        except (ConnectError, ExchangeError, TimeoutError) as error:
            raise StoreUnavailable(str(error) or 'timed out') from error
        if response.status == STATUS_HISTORY_LOST:
            raise HistoryLost
        if response.status != STATUS_OK:
            raise StoreUnavailable(f'status {response.status}')
        return _read_era(response.header(ERA_HEADER)), body

    async def _read(
        self, response: ClientResponse, limit: asyncio.Timeout
    ) -> bytes:
        """Returns a body; the time limit starts anew with each part of it."""
        loop = asyncio.get_running_loop()
        body = bytearray()
        async for part in response.chunks():
            limit.reschedule(loop.time() + ANSWER_TIMEOUT_S)
            self._received_bytes += len(part)
            body += part
            if len(body) > MAX_BODY_BYTES:
                raise ExchangeError(f'answer of over {MAX_BODY_BYTES} bytes')
        return bytes(body)


def _read_era(text: str | None) -> int:
    """Returns the era that a header names; 0 if it is missing or malformed."""
    if text is None or not (text.isascii() and text.isdecimal()):
        return 0
    era = int(text) if len(text) <= MAX_ERA_DIGITS else 0
    return era if era <= MAX_ERA else 0


def _check_progress(page: _Page, earlier: list[_Item]) -> None:
    """Refuses a page that doesn't go on after the earlier ones.

    Raises:
        StoreUnavailable: if it ends at or before them.
    """
    if page.items and earlier and page.items[-1].key <= earlier[-1].key:
        raise StoreUnavailable('malformed reply: the pages do not advance')


def _decode(decoder: msgspec.json.Decoder[_Message], body: bytes) -> _Message:
    try:
        return decode_document(decoder, body)
    except DocumentError as error:
        raise StoreUnavailable(f'malformed reply: {error}') from error


def _parse_change(item: _Item) -> Change | None:
    """Returns the change that an item or event describes, if any."""
    if item.key == CONFIG_KEY:
        return None if item.removed else _parse_config(item)
    if item.key.startswith(EVACUATED_PREFIX):
        domain_id = FailureDomainId(item.key.removeprefix(EVACUATED_PREFIX))
        return (
            DomainRestored(domain_id)
            if item.removed
            else DomainEvacuated(domain_id)
        )
    if item.key.startswith(UPSTREAM_PREFIX):
        return _parse_upstream(item)
    return None


def _parse_config(item: _Item) -> Change:
    try:
        catalog = read_catalog(_document(item))
    except DocumentError as error:
        return EntryUnreadable(item.key, str(error), None)
    return CatalogPublished(catalog)


def _parse_upstream(item: _Item) -> Change:
    upstream_id = UpstreamId(item.key.removeprefix(UPSTREAM_PREFIX))
    if item.removed:
        return UpstreamRemoved(upstream_id)
    try:
        upstream = read_upstream(upstream_id, _document(item))
    except DocumentError as error:
        return EntryUnreadable(item.key, str(error), upstream_id)
    return UpstreamPublished(upstream)


def _document(item: _Item) -> bytes:
    """Returns the value of an item.

    Raises:
        DocumentError: if it isn't valid base64 text.
    """
    try:
        return b64decode(item.value, validate=True)
    except ValueError as error:
        raise DocumentError(str(error)) from error


__all__ = ('StoreClient',)
