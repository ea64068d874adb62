"""Peer messages as msgpack frames.

A frame is one msgpack array ``[tag, call, body]``: the message's tag, the
number of the call it belongs to (0 for one-way messages, negative for a
reply) and its fields as a map.
"""

from __future__ import annotations

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
_FRAME_FIELDS = 3


@dataclass(frozen=True, slots=True)
class Frame:
    """A message with the call it belongs to."""

    message: PeerMessage
    call: int = 0


def encode_frame(frame: Frame) -> bytes:
    """Returns the bytes of a frame."""
    packed: bytes = msgpack.packb(
        (
            tag_of(frame.message),
            frame.call,
            msgspec.to_builtins(frame.message, builtin_types=(bytes,)),
        )
    )
    return packed


class FrameDecoder:
    """Turns a byte stream into frames."""

    def __init__(self) -> None:
        """Sets up an empty buffer bounded by the largest frame."""
        self._unpacker = msgpack.Unpacker(max_buffer_size=MAX_FRAME_BYTES)

    def feed(self, chunk: bytes) -> Iterator[Frame]:
        """Yields the frames that are complete after a chunk.

        Raises:
            CatkinreachError: ``PEER_PROTOCOL`` on anything malformed.
        """
        try:
            self._unpacker.feed(chunk)
            for packed in self._unpacker:
                yield _to_frame(packed)
        except (ValueError, msgpack.UnpackException) as error:
            raise CatkinreachError(
                ErrorKind.PEER_PROTOCOL, 'malformed peer frame'
            ) from error


def _to_frame(packed: Any) -> Frame:
    if not isinstance(packed, list) or len(packed) != _FRAME_FIELDS:
        raise CatkinreachError(ErrorKind.PEER_PROTOCOL, 'bad frame shape')
    tag, call, fields = packed
    message_type = message_type_of(tag) if isinstance(tag, str) else None
    if message_type is None or not isinstance(call, int):
        raise CatkinreachError(ErrorKind.PEER_PROTOCOL, 'unknown message')
    try:
        return Frame(message=msgspec.convert(fields, message_type), call=call)
    except msgspec.ValidationError as error:
        raise CatkinreachError(
            ErrorKind.PEER_PROTOCOL, f'bad fields in {tag}'
        ) from error


__all__ = ('MAX_FRAME_BYTES', 'Frame', 'FrameDecoder', 'encode_frame')
