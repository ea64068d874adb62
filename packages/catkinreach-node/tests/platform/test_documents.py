"""Decoding of the configuration and of upstreams' entries."""

from __future__ import annotations

import msgspec
import pytest

from catkinreach_core.gateway.catalog import RouteKind
from catkinreach_core.gateway.upstream import Stage, UpstreamState
from catkinreach_core.ids import ServiceId, UpstreamId
from catkinreach_node.platform.catalog import read_catalog
from catkinreach_node.platform.registry import read_upstream
from catkinreach_standins.platform.config import (
    HOST,
    MODEL_SERVICE,
    PLAIN_SERVICE,
    make_config,
    make_route,
)

ENTRY = {
    'service': 'model',
    'address': '10.0.0.1:80',
    'zone': 'zone-a',
    'version': 'v1',
    'slots': 64,
    'state': 'ready',
    'cold-remaining-ms': 1500,
    'stage': 'decode',
    'sequence': 4,
    'born': 1_700_000_000_000,
}


def test_configuration_is_decoded() -> None:
    catalog = read_catalog(msgspec.json.encode(make_config(7)))
    stream = catalog.match_route(HOST, '/stream/x')
    assert stream is not None
    assert stream.kind is RouteKind.STREAM
    assert stream.is_retryable
    assert stream.timeout_s == 3.0
    assert catalog.workspaces['key-one'].rate == 47_000
    engine = catalog.services[ServiceId(MODEL_SERVICE)].engine
    assert engine is not None
    assert engine.event_tokens == 11


def test_longest_prefix_is_matched() -> None:
    routes = [
        make_route('all', 'idempotent', PLAIN_SERVICE, prefix='/'),
        make_route('deep', 'idempotent', PLAIN_SERVICE, prefix='/x/y/'),
        make_route('short', 'idempotent', PLAIN_SERVICE, prefix='/x/'),
    ]
    catalog = read_catalog(msgspec.json.encode(make_config(7, routes=routes)))
    matches = [
        catalog.match_route(HOST, path) for path in ('/x/y/z', '/x/y', '/z')
    ]
    assert [match and match.route_id for match in matches] == [
        'deep',
        'short',
        'all',
    ]
    assert catalog.match_route('other.example', '/x/') is None


def test_split_route_leaves_out_services_without_weight() -> None:
    split = [{'service': 'one', 'weight': 90}, {'service': 'two', 'weight': 0}]
    parts = {'weighted-split': split}
    routes = [make_route('split', 'idempotent', '', **parts)]
    catalog = read_catalog(msgspec.json.encode(make_config(7, routes=routes)))
    found = catalog.match_route(HOST, '/split/')
    assert found is not None
    assert [share.service_id for share in found.shares] == ['one']


def test_entry_is_decoded() -> None:
    upstream = read_upstream(UpstreamId('i-1'), msgspec.json.encode(ENTRY))
    assert upstream is not None
    assert upstream.stage is Stage.DECODE
    assert upstream.state is UpstreamState.READY
    assert upstream.cold_s == 1.5


@pytest.mark.parametrize(
    ('field', 'text'),
    [
        ('state', 'resting'),
        ('stage', 'both'),
        ('slots', '64'),
        ('address', 'nowhere'),
        ('born', 1.5),
        ('service', None),
        ('sequence', True),
    ],
)
def test_malformed_entry_yields_no_upstream(field: str, text: object) -> None:
    document = msgspec.json.encode({**ENTRY, field: text})
    assert read_upstream(UpstreamId('i-1'), document) is None


def test_bytes_that_are_not_an_entry_yield_no_upstream() -> None:
    for document in (b'', b'[]', b'{}', b'\xff'):
        assert read_upstream(UpstreamId('i-1'), document) is None
