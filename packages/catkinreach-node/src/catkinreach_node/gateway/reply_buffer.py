"""Bounds the memory of replies that are buffered as a whole."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_BUFFERED_BYTES = 1024 * 1024
"""Memory that all replies share beyond ``SMALL_REPLY_BYTES`` each."""

SMALL_REPLY_BYTES = 16 * 1024
"""Part of each reply that needs no share of the buffer: endless replies of
one upstream must not fail the short ones of others."""


class BufferFullError(Exception):
    """A reply is longer than allowed, or the shared memory is used up."""


class ReplyBuffer:
    """Memory for the replies of one node; held by ``ReplyPart`` objects."""

    def __init__(self, max_bytes: int = MAX_BUFFERED_BYTES) -> None:
        """Starts empty."""
        self._max_bytes = max_bytes
        self._used_bytes = 0

    @property
    def used_bytes(self) -> int:
        """Returns the memory in use, small replies not counted."""
        return self._used_bytes

    @contextmanager
    def open_part(self, max_bytes: int) -> Iterator[ReplyPart]:
        """Yields the buffer of one reply; its memory is freed at the end."""
        part = ReplyPart(self, max_bytes)
        try:
            yield part
        finally:
            self._used_bytes -= part.shared_bytes

    def reserve(self, size_bytes: int) -> None:
        """Takes memory for a reply.

        Raises:
            BufferFullError: if other replies use it.
        """
        if self._used_bytes + size_bytes > self._max_bytes:
            raise BufferFullError('the memory for replies is used up')
        self._used_bytes += size_bytes


class ReplyPart:
    """The bytes of one reply that have arrived.

    Attributes:
        shared_bytes: Bytes that count towards the shared memory.
    """

    def __init__(self, buffer: ReplyBuffer, max_bytes: int) -> None:
        """Starts without bytes."""
        self._buffer = buffer
        self._max_bytes = max_bytes
        self._size_bytes = 0
        self._chunks: list[bytes] = []
        self.shared_bytes = 0

    def add(self, data: bytes) -> None:
        """Adds bytes.

        Raises:
            BufferFullError: if the reply is too long for its bound or for
                what is left of the shared memory.
        """
        self._size_bytes += len(data)
        if self._size_bytes > self._max_bytes:
            raise BufferFullError(f'reply of over {self._max_bytes} bytes')
        shared = max(0, self._size_bytes - SMALL_REPLY_BYTES)
        self._buffer.reserve(shared - self.shared_bytes)
        self.shared_bytes = shared
        self._chunks.append(data)

    def content(self) -> bytes:
        """Returns all bytes so far."""
        return b''.join(self._chunks)


__all__ = ('BufferFullError', 'ReplyBuffer', 'ReplyPart')
