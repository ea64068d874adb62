"""Entries, configuration and replies of the store, whatever is in them."""

from __future__ import annotations

import asyncio
import math
from base64 import b64encode
from pathlib import Path
from typing import TYPE_CHECKING, Any
from unittest.mock import patch

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from catkinreach_core.documents import DocumentError
from catkinreach_core.gateway.feed import (
    Change,
    ChangeBatch,
    EntryUnreadable,
    Listing,
    StoreUnavailable,
    UpstreamPublished,
)
from catkinreach_core.gateway.gossip import (
    StoreChanges,
    decode_gossip,
    encode_gossip,
)
from catkinreach_core.gateway.metadata import ForwardMetadata
from catkinreach_core.gateway.placement import has_spare_slots
from catkinreach_core.ids import Revision, UpstreamId
from catkinreach_core.ranges import MAX_COUNT, MAX_PORT
from catkinreach_core.settings.node import Address
from catkinreach_node.gateway.view_updater import ViewUpdater
from catkinreach_node.http.messages import HttpRequest
from catkinreach_node.platform.catalog import read_catalog
from catkinreach_node.platform.registry import read_upstream
from catkinreach_node.platform.store import StoreClient
from catkinreach_node.platform.wire import PlatformDialect
from catkinreach_standins.fakes.fuzz_inputs import (
    ODD_TEXTS,
    damaged_bytes,
    damaged_json,
    damaged_trees,
    fuzz_settings,
    stored_inputs,
    to_json,
)
from catkinreach_standins.fakes.sendable import is_sendable
from catkinreach_standins.platform.config import make_config, make_route
from catkinreach_standins.platform.deployment import idle_node

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinreach_core.gateway.catalog import Catalog
    from catkinreach_core.gateway.upstream import Upstream

CORPUS = Path(__file__).parent / 'corpus'
ENTRIES = CORPUS / 'entries'
CONFIGS = CORPUS / 'configs'
PAGES = CORPUS / 'pages'
ENTRY = {
    'service': 'plain',
    'address': '127.0.0.1:1',
    'zone': 'zone-a',
    'version': 'v1',
    'slots': 64,
    'state': 'ready',
    'cold-remaining-ms': 1500,
    'stage': 'decode',
    'sequence': 4,
    'born': 1_700_000_000_000,
}
CONFIG = make_config(
    7,
    routes=[
        make_route(
            'split',
            'idempotent',
            'plain',
            **{'weighted-split': [{'service': 'plain', 'weight': 1}]},
        ),
        make_route('stream', 'streaming', 'model', resumable=True),
    ],
)
REQUEST = HttpRequest('GET', '/x')


def _encoded(document: object) -> str:
    return b64encode(to_json(document)).decode()


PAGE = {
    'items': [
        {'key': 'op/config', 'value': _encoded(CONFIG), 'revision': 3},
        {'key': 'servers/a', 'value': _encoded(ENTRY), 'revision': 4},
        {'key': 'op/evacuate/zone-a', 'value': '', 'revision': 5},
        {'key': 'servers/b', 'removed': True, 'revision': 6},
    ],
    'current-rev': 7,
    'has-more': False,
}
EVENTS = {'events': PAGE['items'], 'current-rev': 7}


def _check_upstream(upstream: Upstream) -> None:
    assert 0 < upstream.address.port <= MAX_PORT
    assert 0 <= upstream.slots <= MAX_COUNT
    assert 0 <= upstream.cold_s < math.inf
    metadata = ForwardMetadata(
        upstream_id=upstream.upstream_id,
        deadline_s=1.0,
        priority=1,
        workspace_id=None,
    )
    request = PlatformDialect().upstream_request(REQUEST, metadata)
    assert is_sendable(request)


def _check_catalog(catalog: Catalog) -> None:
    dialect = PlatformDialect()
    for workspace in catalog.workspaces.values():
        metadata = ForwardMetadata(
            upstream_id=UpstreamId('a'),
            deadline_s=1.0,
            priority=workspace.priority or 0,
            workspace_id=workspace.workspace_id,
        )
        assert is_sendable(dialect.upstream_request(REQUEST, metadata))
        assert 0 <= workspace.rate < math.inf
    for service in catalog.services.values():
        assert is_sendable(dialect.health_request(service.health_path))
    for routes in catalog.routes.values():
        for route in routes:
            assert 0 <= route.timeout_s < math.inf
            assert all(0 < share.weight < math.inf for share in route.shares)


def _check_changes(changes: list[Change]) -> None:
    """Applies changes to a node and lets it decide and tell of them."""
    node = idle_node()
    updater = ViewUpdater(node)
    updater.apply_listing(Listing(changes, Revision(1)))
    for change in changes:
        updater.apply_change(change)
        if isinstance(change, UpstreamPublished):
            _check_upstream(change.upstream)
    small: Any = [one for one in changes if not hasattr(one, 'catalog')]
    told = StoreChanges(
        node='10.0.0.1',
        after=Revision(0),
        revision=Revision(1),
        expiry_grace_s=0.0,
        changes=small,
    )
    assert decode_gossip(encode_gossip(told)) == told
    catalog = node.view.catalog
    if catalog is None:
        return
    _check_catalog(catalog)
    for service_id, service in catalog.services.items():
        candidates = node.candidates(service_id, service, set())
        has_spare_slots(candidates)
        node.has_capacity(service)
    for routes in catalog.routes.values():
        for route in routes:
            route.choose_service(node.rng)


def _check_entry(document: bytes) -> None:
    try:
        upstream = read_upstream(UpstreamId('a'), document)
    except DocumentError:
        return
    _check_upstream(upstream)


def _check_config(document: bytes) -> None:
    try:
        catalog = read_catalog(document)
    except DocumentError:
        return
    _check_catalog(catalog)


def _check_reply(body: bytes) -> None:
    """Lets a client read a reply of the store as a page and as events."""
    store = StoreClient(Address(host='127.0.0.1', port=1))

    async def run(call: Callable[[], Any]) -> Listing | ChangeBatch | None:
        async def reply(
            path: str, query: object, timeout_s: float
        ) -> tuple[int, bytes]:
            del path, query, timeout_s
            return 0, body

        with patch.object(store, '_get', reply):
            try:
                read: Listing | ChangeBatch = await call()
            except StoreUnavailable:
                return None
        return read

    for call in (store.list_all, lambda: store.watch(Revision(0), 0.0)):
        found = asyncio.run(run(call))
        if found is not None:
            assert 0 <= found.revision < 2**63
            _check_changes(list(found.changes))


@fuzz_settings()
@given(document=damaged_json(ENTRY))
def test_odd_entry_raises_or_is_out_of_range(document: bytes) -> None:
    _check_entry(document)


@fuzz_settings()
@given(document=damaged_json(CONFIG))
def test_odd_configuration_raises_or_is_out_of_range(document: bytes) -> None:
    _check_config(document)


@st.composite
def _replies(draw: st.DrawFn) -> bytes:
    """Returns replies with odd keys, odd values and odd members."""
    page = draw(damaged_trees(draw(st.sampled_from((PAGE, EVENTS)))))
    if not isinstance(page, dict):
        return to_json(page)
    items = page.get('items') or page.get('events')
    if isinstance(items, list) and draw(st.booleans()):
        config = draw(damaged_trees(CONFIG))
        entry = draw(damaged_json(ENTRY))
        name = draw(st.sampled_from((*ODD_TEXTS, 'a')) | st.text(max_size=4))
        items += [
            {'key': 'op/config', 'value': _encoded(config)},
            {'key': f'servers/{name}', 'value': b64encode(entry).decode()},
            {'key': f'op/evacuate/{name}'},
        ]
    return to_json(page)


@fuzz_settings()
@given(body=st.one_of(_replies(), damaged_bytes(to_json(PAGE))))
@example(body=to_json(PAGE))
@example(body=to_json(EVENTS))
def test_odd_reply_of_the_store_spoils_a_node(body: bytes) -> None:
    _check_reply(body)


@pytest.mark.parametrize('name', stored_inputs(ENTRIES))
def test_stored_entry_fails_again(name: str) -> None:
    _check_entry(stored_inputs(ENTRIES)[name])


@pytest.mark.parametrize('name', stored_inputs(CONFIGS))
def test_stored_configuration_fails_again(name: str) -> None:
    _check_config(stored_inputs(CONFIGS)[name])


@pytest.mark.parametrize('name', stored_inputs(PAGES))
def test_stored_reply_of_the_store_spoils_a_node_again(name: str) -> None:
    _check_reply(stored_inputs(PAGES)[name])


def test_entry_with_an_odd_name_is_listed() -> None:
    store = StoreClient(Address(host='127.0.0.1', port=1))
    body = stored_inputs(PAGES)['name-line-break']

    async def reply(
        path: str, query: object, timeout_s: float
    ) -> tuple[int, bytes]:
        del path, query, timeout_s
        return 0, body

    with patch.object(store, '_get', reply):
        changes = asyncio.run(store.list_all()).changes
    assert [type(change) for change in changes] == [EntryUnreadable]


# The client read it again and again, and kept all copies.
def test_page_that_comes_again_is_read_without_end() -> None:
    store = StoreClient(Address(host='127.0.0.1', port=1))
    replies = [to_json({**PAGE, 'has-more': True})] * 3

    async def reply(
        path: str, query: object, timeout_s: float
    ) -> tuple[int, bytes]:
        del path, query, timeout_s
        return 0, replies.pop()

    with patch.object(store, '_get', reply), pytest.raises(StoreUnavailable):
        asyncio.run(store.list_all())
    assert replies
