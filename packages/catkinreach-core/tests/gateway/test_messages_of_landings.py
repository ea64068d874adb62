"""Messages of earlier landings, and what those builds make of today's.

Each folder of ``corpus/messages`` holds one message of each kind, as that
landing encodes it (``tools/write_message_corpus.py``).
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec
import pytest

from catkinreach_core.documents import DocumentError
from catkinreach_core.gateway.gossip import (
    GossipMessage,
    decode_gossip,
    encode_gossip,
)
from catkinreach_core.gateway.snapshot import decode_snapshot, encode_snapshot

CORPUS = Path(__file__).parent / 'corpus' / 'messages'
BEFORE_VERSIONS = '1460ae3'
"""A landing whose messages don't tell the software versions of upstreams."""

FILES = sorted(CORPUS.glob('*/*.msgpack'))
WITHOUT_VERSIONS = [
    CORPUS / BEFORE_VERSIONS / f'{name}.msgpack'
    for name in ('StoreChanges', 'StoreSnapshot')
]


def _encode_again(file: Path) -> bytes:
    """Returns a message of a landing as this build sends it."""
    data = file.read_bytes()
    if file.stem == 'StoreSnapshot':
        return encode_snapshot(decode_snapshot(data))
    message = decode_gossip(data)
    assert message is not None
    return encode_gossip(message)


def _is_read_alike(earlier: Any, today: Any) -> bool:
    """Returns whether an earlier build finds its fields where it looks.

    Further fields may follow in an array, and stand beside the others in a
    map; both are passed over.
    """
    if isinstance(earlier, list):
        return len(earlier) <= len(today) and all(
            map(_is_read_alike, earlier, today)
        )
    if isinstance(earlier, dict):
        return all(
            name in today and _is_read_alike(member, today[name])
            for name, member in earlier.items()
        )
    return bool(earlier == today)


def test_corpus_holds_each_kind_of_message_of_each_landing() -> None:
    counts = {
        folder.name: len(list(folder.glob('*.msgpack')))
        for folder in CORPUS.iterdir()
    }
    assert counts == {
        BEFORE_VERSIONS: 7,
        '03194b3': 10,
        '51a398b': 10,
        '545fb3f': 10,
    }


@pytest.mark.parametrize(
    'file',
    [file for file in FILES if file not in WITHOUT_VERSIONS],
    ids=lambda file: f'{file.parent.name}-{file.stem}',
)
def test_messages_of_a_landing_and_this_build_are_read_alike(
    file: Path,
) -> None:
    earlier = msgspec.msgpack.decode(file.read_bytes())
    today = msgspec.msgpack.decode(_encode_again(file))
    assert _is_read_alike(earlier, today)


def test_entries_without_a_software_version_are_not_taken() -> None:
    changes, snapshot = (file.read_bytes() for file in WITHOUT_VERSIONS)
    assert decode_gossip(changes) is None
    with pytest.raises(DocumentError):
        decode_snapshot(snapshot)


# Each default is what is safe to assume of a VM that doesn't tell.
def test_state_of_a_build_that_tells_nothing_is_unknown() -> None:
    message = decode_gossip(
        msgspec.msgpack.encode(['state', '10.0.0.1', 'running'])
    )
    assert isinstance(message, GossipMessage)
    assert message.store_revision == 0
    assert message.ends_unix_ms == 0
    assert not message.is_cut_off
    assert not message.limits
