"""Frames of peers, whatever is in them, and the frames that answer them."""

from __future__ import annotations

import math
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgpack
import msgspec
import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from catkinreach_core.errors import CatkinreachError, ErrorKind
from catkinreach_core.messages import (
    cell,
    hello,
    leases,
    limits,
    membership,
    orders,
    relay,
)
from catkinreach_core.messages.base import PeerMessage, _tags_by_type
from catkinreach_core.messages.codec import Frame, FrameDecoder, encode_frame
from catkinreach_standins.fakes.fuzz_inputs import (
    damaged_bytes,
    damaged_trees,
    fuzz_settings,
    stored_inputs,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

CORPUS = Path(__file__).parent / 'corpus' / 'frames'
MODULES = (cell, hello, leases, limits, membership, orders, relay)
TYPES = tuple(
    found
    for module in MODULES
    for found in vars(module).values()
    if isinstance(found, type)
    and issubclass(found, PeerMessage)
    and found is not PeerMessage
)
DEEPEST = 500
"""Depth of nested lists that the decoder still unpacks."""


def _sample(info: msgspec.inspect.Type) -> Any:
    """Returns a document that is valid for a type."""
    match info:
        case msgspec.inspect.StructType():
            members = {
                field.encode_name: _sample(field.type) for field in info.fields
            }
            return list(members.values()) if info.array_like else members
        case msgspec.inspect.VarTupleType():
            return [_sample(info.item_type)]
        case msgspec.inspect.TupleType():
            return [_sample(item) for item in info.item_types]
        case msgspec.inspect.DictType():
            return {_sample(info.key_type): _sample(info.value_type)}
        case msgspec.inspect.UnionType():
            return _sample(info.types[0])
        case msgspec.inspect.EnumType():
            return next(iter(info.cls)).value
    return PLAIN[type(info)]


PLAIN: dict[type[msgspec.inspect.Type], Any] = {
    msgspec.inspect.IntType: 1,
    msgspec.inspect.FloatType: 0.5,
    msgspec.inspect.StrType: '10.0.0.1:1',
    msgspec.inspect.BoolType: True,
    msgspec.inspect.BytesType: b'x',
    msgspec.inspect.NoneType: None,
}
TREES = {
    found.__name__: [
        _tags_by_type[found],
        7,
        _sample(msgspec.inspect.type_info(found)),
    ]
    for found in TYPES
}
VALID = {name: msgpack.packb(tree) for name, tree in TREES.items()}
FRAMES = st.one_of(
    st.sampled_from(sorted(TREES)).flatmap(
        lambda name: damaged_trees(TREES[name]).map(msgpack.packb)
    ),
    st.sampled_from(sorted(VALID)).flatmap(
        lambda name: damaged_bytes(VALID[name])
    ),
    st.binary(max_size=40),
)


def _numbers(tree: Any) -> Iterator[float]:
    """Yields the numbers with a fraction in a tree."""
    if isinstance(tree, float):
        yield tree
    elif isinstance(tree, dict):
        for value in tree.values():
            yield from _numbers(value)
    elif isinstance(tree, list | tuple):
        for value in tree:
            yield from _numbers(value)


def _check(chunks: list[bytes]) -> None:
    decoder = FrameDecoder()
    for chunk in chunks:
        try:
            frames = list(decoder.feed(chunk))
        except CatkinreachError as error:
            if error.kind is not ErrorKind.PEER_PROTOCOL:
                raise
            return
        for frame in frames:
            _check_frame(frame)


def _check_frame(frame: Frame) -> None:
    """Sends a frame on, and an answer to it."""
    assert list(FrameDecoder().feed(encode_frame(frame))) == [frame]
    refusal = hello.Refusal(kind='internal', detail='')
    encode_frame(Frame(refusal, -frame.call))
    assert all(map(math.isfinite, _numbers(msgspec.to_builtins(frame.message))))


# The answer to a call with a number beyond 63 bits couldn't be encoded.
@fuzz_settings()
@given(chunks=st.lists(FRAMES, min_size=1, max_size=3))
@example(chunks=[b'\x91' * DEEPEST + b'\x01'])
@example(chunks=[b'\xdd\x00\x1f\xff\xff' * DEEPEST])
def test_odd_frames_raise_another_error(chunks: list[bytes]) -> None:
    _check(chunks)


@pytest.mark.parametrize('name', stored_inputs(CORPUS))
def test_stored_frame_raises_another_error_again(name: str) -> None:
    _check([stored_inputs(CORPUS)[name]])


@pytest.mark.parametrize('name', TREES)
def test_sound_frame_is_refused(name: str) -> None:
    (frame,) = FrameDecoder().feed(VALID[name])
    assert type(frame.message).__name__ == name
