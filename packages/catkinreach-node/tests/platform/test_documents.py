"""Decoding of the configuration and of upstreams' entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import pytest

from catkinreach_core.documents import DocumentError
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

if TYPE_CHECKING:
    from collections.abc import Iterator

NUMBER_OF_400_DIGITS = '9' * 400

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
        ('address', '10.0.0.1:0'),
        ('address', '10.0.0.1:65536'),
        ('address', f'10.0.0.1:{NUMBER_OF_400_DIGITS}'),
        ('slots', -1),
        ('slots', 2**31),
        ('cold-remaining-ms', -1),
        ('cold-remaining-ms', 1e300),
        ('born', 2**60),
    ],
)
def test_malformed_entry_yields_no_upstream(field: str, text: object) -> None:
    document = msgspec.json.encode({**ENTRY, field: text})
    with pytest.raises(DocumentError):
        read_upstream(UpstreamId('i-1'), document)


@pytest.mark.parametrize('field', ['slots', 'cold-remaining-ms', 'born'])
@pytest.mark.parametrize(
    'number', [NUMBER_OF_400_DIGITS, NUMBER_OF_400_DIGITS * 20, '1e400']
)
def test_number_with_too_many_digits_yields_no_upstream(
    field: str, number: str
) -> None:
    # Python's integers held it, and floats and messages to peers couldn't.
    document = msgspec.json.encode({**ENTRY, field: 0})
    marker = f'"{field}":0'.encode()
    document = document.replace(marker, marker[:-1] + number.encode())
    assert number.encode() in document
    with pytest.raises(DocumentError):
        read_upstream(UpstreamId('i-1'), document)


@pytest.mark.parametrize('depth', [1000, 2000, 100_000])
def test_deeply_nested_document_ends_the_process(depth: int) -> None:
    # It raised an error that was none of the decoder's own.
    document = b'{"notes":' + b'[' * depth + b']' * depth + b'}'
    with pytest.raises(DocumentError):
        read_upstream(UpstreamId('i-1'), document)
    with pytest.raises(DocumentError):
        read_catalog(document)


@pytest.mark.parametrize(
    ('path', 'value'),
    [
        ('version', -1),
        ('version', 2**70),
        ('max-header-bytes', 0),
        ('idle-timeout-ms', -1),
        ('kind', 'sometimes'),
        ('timeout-ms', 1e300),
        ('rate-per-s', -5),
    ],
)
def test_configuration_out_of_range_is_refused(
    path: str, value: object
) -> None:
    document = make_config(7)
    for part in _parts(document):
        if path in part:
            part[path] = value
    with pytest.raises(DocumentError):
        read_catalog(msgspec.json.encode(document))


def _parts(document: object) -> Iterator[dict[str, object]]:
    """Yields all objects in a document."""
    if isinstance(document, dict):
        yield document
        for value in document.values():
            yield from _parts(value)
    elif isinstance(document, list):
        for value in document:
            yield from _parts(value)


def test_bytes_that_are_not_an_entry_yield_no_upstream() -> None:
    for document in (b'', b'[]', b'{}', b'\xff'):
        with pytest.raises(DocumentError):
            read_upstream(UpstreamId('i-1'), document)
