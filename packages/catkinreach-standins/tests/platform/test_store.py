"""The stand-in of the store comes back from an older copy."""

from __future__ import annotations

import asyncio
from base64 import b64decode

import msgspec
import pytest

from catkinreach_standins.http import Request, Response
from catkinreach_standins.platform.store import StoreFault, StoreStandin

GONE = 410


def _call(store: StoreStandin, path: str, **query: str) -> Response:
    request = Request('GET', path, query, {}, b'')
    return asyncio.run(store.handle_request(request))


def _watch(store: StoreStandin, after: int) -> Response:
    wait = {'wait-ms': '0'}
    return _call(store, '/kv-watch', prefix='', after=str(after), **wait)


def _revision(store: StoreStandin) -> int:
    document = msgspec.json.decode(_call(store, '/kv-range').body)
    revision: int = document['current-rev']
    return revision


def test_restored_copy_has_lost_what_was_written_since() -> None:
    store = StoreStandin()
    store.put('one', {})
    copy = store.copy()
    store.put('two', {})
    lost_revision = _revision(store)
    store.restore(copy)
    assert _revision(store) == lost_revision - 1
    assert _watch(store, lost_revision).status == GONE
    store.put('three', {})
    assert _revision(store) == lost_revision
    store.put('four', {})
    document = msgspec.json.decode(_watch(store, lost_revision).body)
    assert [event['key'] for event in document['events']] == ['four']


@pytest.mark.parametrize('fault', [StoreFault.NONE, StoreFault.BUSY])
def test_all_responses_name_the_era(fault: StoreFault) -> None:
    store = StoreStandin()
    before = _call(store, '/kv-range').headers['store-era']
    store.restore(store.copy())
    store.fault = fault
    after_gone = _watch(store, 0).headers['store-era']
    after_read = _call(store, '/kv-range').headers['store-era']
    assert after_gone == after_read == str(int(before) + 1)


def test_only_what_the_copy_lacks_is_written_again() -> None:
    store = StoreStandin()
    for key in ('changed', 'kept', 'removed', 'written-since'):
        store.put(key, 1)
    copy = store.copy()
    store.put('changed', 2)
    store.put('added', 2)
    store.put('written-since', 2)
    store.remove('removed')
    lost = store.copy()
    store.restore(copy)
    store.put('written-since', 3)
    restored_at = _revision(store)
    store.write_again(lost, copy)
    document = msgspec.json.decode(_watch(store, restored_at).body)
    assert [event['key'] for event in document['events']] == [
        'added',
        'changed',
        'removed',
    ]
    items = msgspec.json.decode(_call(store, '/kv-range').body)['items']
    values = {item['key']: b64decode(item['value']) for item in items}
    assert values == {
        'added': b'2',
        'changed': b'2',
        'kept': b'1',
        'written-since': b'3',
    }
