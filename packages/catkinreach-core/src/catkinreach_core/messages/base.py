"""Base class of peer messages and the registry of their wire tags."""

from __future__ import annotations

from typing import TypeVar

from msgspec import Struct

MessageT = TypeVar('MessageT', bound='PeerMessage')


class PeerMessage(Struct, frozen=True, kw_only=True):
    """A message between two nodes; ``wire_tag`` registers its subclasses."""


_types_by_tag: dict[str, type[PeerMessage]] = {}
_tags_by_type: dict[type[PeerMessage], str] = {}


class _Registration:
    """Decorator that binds a message type to its wire tag."""

    def __init__(self, tag: str) -> None:
        """Creates the decorator for a tag, which must be unique."""
        self._tag = tag

    def __call__(self, message_type: type[MessageT]) -> type[MessageT]:
        """Registers the type under the tag."""
        if self._tag in _types_by_tag:
            raise ValueError(f'message tag {self._tag!r} is already registered')
        _types_by_tag[self._tag] = message_type
        _tags_by_type[message_type] = self._tag
        return message_type


def wire_tag(tag: str) -> _Registration:
    """Returns a decorator that registers a message type under a tag."""
    return _Registration(tag)


def tag_of(message: PeerMessage) -> str:
    """Returns the wire tag of a message."""
    return _tags_by_type[type(message)]


def message_type_of(tag: str) -> type[PeerMessage] | None:
    """Returns the message type of a wire tag, or ``None`` if unknown."""
    return _types_by_tag.get(tag)


__all__ = ('PeerMessage', 'message_type_of', 'tag_of', 'wire_tag')
