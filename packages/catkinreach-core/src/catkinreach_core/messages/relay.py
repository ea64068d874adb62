"""Messages that distribute the published configuration between nodes."""

from __future__ import annotations

from msgspec import Struct

from ..ids import Revision
from .base import PeerMessage, wire_tag


class PublishedText(Struct, frozen=True, array_like=True):
    """A configuration text as the operators published it."""

    revision: Revision
    text: str


@wire_tag('news')
class RevisionAnnouncement(PeerMessage, frozen=True, kw_only=True):
    """Announces new revisions as soon as the sender receives them."""

    config: Revision
    lists: tuple[Revision, ...]


@wire_tag('config-pull')
class ConfigPull(PeerMessage, frozen=True, kw_only=True):
    """Requests the configuration texts newer than a revision."""

    after: Revision


@wire_tag('config-push')
class ConfigPush(PeerMessage, frozen=True, kw_only=True):
    """Reply to ``ConfigPull``.

    It holds the text in force and, if the newest text was refused, also the
    newest text, as far as they are newer than the requested revision.
    """

    texts: tuple[PublishedText, ...]


__all__ = ('ConfigPull', 'ConfigPush', 'PublishedText', 'RevisionAnnouncement')
