"""The peer codec decodes its own frames and refuses all other input."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

import msgpack
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from catkinreach_core.errors import CatkinreachError, ErrorKind
from catkinreach_core.ids import Incarnation, VmId
from catkinreach_core.messages.codec import (
    MAX_FRAME_BYTES,
    Frame,
    FrameDecoder,
    encode_frame,
)
from catkinreach_core.messages.hello import Hello

if TYPE_CHECKING:
    from collections.abc import Iterator

HELLO = Frame(Hello(vm_id=VmId('vm-1'), incarnation=Incarnation('a')), 7)


@contextmanager
def _protocol_error_allowed() -> Iterator[None]:
    """Suppresses errors of the kind ``PEER_PROTOCOL`` and no others."""
    try:
        yield
    except CatkinreachError as refusal:
        if refusal.kind is not ErrorKind.PEER_PROTOCOL:
            raise


def test_frames_are_decoded_from_single_bytes() -> None:
    stream = encode_frame(HELLO) * 3
    decoder = FrameDecoder()
    frames = [
        frame
        for start in range(len(stream))
        for frame in decoder.feed(stream[start : start + 1])
    ]
    assert frames == [HELLO] * 3


@pytest.mark.parametrize(
    'packed',
    [
        42,
        ['hello', 0],
        ['nobody', 0, {}],
        [['hello'], 0, {}],
        ['hello', 'zero', {}],
        ['hello', 0, {'vm_id': 1, 'incarnation': 'a'}],
        ['hello', 0, {}],
        ['hello', 0, 'fields'],
    ],
)
def test_malformed_frames_are_refused(packed: object) -> None:
    with pytest.raises(CatkinreachError) as refusal:
        list(FrameDecoder().feed(msgpack.packb(packed)))
    assert refusal.value.kind is ErrorKind.PEER_PROTOCOL


def test_frame_over_the_size_limit_is_refused() -> None:
    huge = msgpack.packb(['hello', 0, {'vm_id': 'x' * (MAX_FRAME_BYTES + 1)}])
    with pytest.raises(CatkinreachError):
        list(FrameDecoder().feed(huge))


@settings(max_examples=300, deadline=None, derandomize=True)
@given(chunks=st.lists(st.binary(max_size=40), max_size=8))
def test_random_bytes_give_frames_or_protocol_error(
    chunks: list[bytes],
) -> None:
    decoder = FrameDecoder()
    with _protocol_error_allowed():
        for chunk in chunks:
            list(decoder.feed(chunk))


_PLAIN_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-9, 9) | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=8,
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(fields=_PLAIN_VALUES, call=st.integers(-5, 5))
def test_random_fields_give_a_frame_or_protocol_error(
    fields: object, call: int
) -> None:
    packed = msgpack.packb(['hello', call, fields])
    with _protocol_error_allowed():
        assert len(list(FrameDecoder().feed(packed))) == 1


# The depth at which msgpack gives up is above the one at which Python does.
@pytest.mark.parametrize('depth', [300, 600, 1000, 1022, 2000])
def test_nested_frame_raises_another_error(depth: int) -> None:
    nested = b'\x91' * depth + b'\x90'
    with pytest.raises(CatkinreachError) as refusal:
        list(FrameDecoder().feed(b'\x93\xa5hello\x01' + nested))
    assert refusal.value.kind is ErrorKind.PEER_PROTOCOL
