"""Encoding of peer messages as msgpack frames.

A frame is one msgpack array ``[tag, call, body]``: the wire tag of the
message, the number of the call it belongs to (0 for one-way messages,
negative for a reply) and the message's fields as a map.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgpack
import msgspec

from ..errors import CatkinreachError, ErrorKind
from .base import message_type_of, tag_of

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .base import PeerMessage

MAX_FRAME_BYTES = 2 * 1024 * 1024
MAX_CALL = 2**63 - 1
_FRAME_FIELDS = 3


@dataclass(frozen=True, slots=True)
class Frame:
    """A message with the number of the call that it belongs to."""

    message: PeerMessage
    call: int = 0


def encode_frame(frame: Frame) -> bytes:
    """Returns the encoded frame."""
    packed: bytes = msgpack.packb(
        (
            tag_of(frame.message),
            frame.call,
            msgspec.to_builtins(frame.message, builtin_types=(bytes,)),
        )
    )
    return packed


class FrameDecoder:
    """Incremental decoder of a byte stream into frames."""

    def __init__(self) -> None:
        """Creates a decoder that buffers at most ``MAX_FRAME_BYTES``."""
        self._unpacker = msgpack.Unpacker(max_buffer_size=MAX_FRAME_BYTES)

    def feed(self, chunk: bytes) -> Iterator[Frame]:
        """Adds a chunk of the stream and yields the frames it completes.

        Raises:
            CatkinreachError: ``PEER_PROTOCOL`` if a frame is malformed or
                exceeds the buffer.
        """
        try:
            self._unpacker.feed(chunk)
            for packed in self._unpacker:
                yield _to_frame(packed)
        except (
            ValueError,
            RecursionError,
            msgpack.UnpackException,
        ) as error:
            raise CatkinreachError(
                ErrorKind.PEER_PROTOCOL, 'malformed peer frame'
            ) from error


def _to_frame(packed: Any) -> Frame:
    if not isinstance(packed, list) or len(packed) != _FRAME_FIELDS:
        raise CatkinreachError(
            ErrorKind.PEER_PROTOCOL,
            'peer frame is not an array of tag, call and body',
        )
    tag, call, fields = packed
    message_type = message_type_of(tag) if isinstance(tag, str) else None
    if message_type is None or not _is_call_number(call):
        raise CatkinreachError(
            ErrorKind.PEER_PROTOCOL,
            'peer frame has an unknown tag or an invalid call number',
        )
    if not _has_finite_numbers(fields):
        raise CatkinreachError(
            ErrorKind.PEER_PROTOCOL,
            f'number that is not finite in peer message {tag}',
        )
    try:
        return Frame(message=msgspec.convert(fields, message_type), call=call)
    except msgspec.ValidationError as error:
        raise CatkinreachError(
            ErrorKind.PEER_PROTOCOL, f'invalid fields in peer message {tag}'
        ) from error


def _is_call_number(call: Any) -> bool:
    """Returns whether a call has a number that its reply can negate."""
    is_integer = isinstance(call, int) and not isinstance(call, bool)
    return is_integer and -MAX_CALL <= call <= MAX_CALL


def _has_finite_numbers(tree: Any) -> bool:
    """Returns whether no number in a tree is infinite or not a number."""
    if isinstance(tree, float):
        return math.isfinite(tree)
    if isinstance(tree, dict):
        return all(map(_has_finite_numbers, tree.values()))
    if isinstance(tree, list):
        return all(map(_has_finite_numbers, tree))
    return True


__all__ = ('MAX_FRAME_BYTES', 'Frame', 'FrameDecoder', 'encode_frame')
