"""Messages that spread the published configuration."""

from __future__ import annotations

from msgspec import Struct

from ..ids import Revision
from .base import PeerMessage, wire_tag


class PublishedText(Struct, frozen=True, array_like=True):
    """A text as the operators published it."""

    revision: Revision
    text: str


@wire_tag('news')
class RevisionAnnouncement(PeerMessage, frozen=True, kw_only=True):
    """Tells of new revisions right after they arrived."""

    config: Revision
    lists: tuple[Revision, ...]


@wire_tag('config-pull')
class ConfigPull(PeerMessage, frozen=True, kw_only=True):
    """Asks for texts newer than a revision."""

    after: Revision


@wire_tag('config-push')
class ConfigPush(PeerMessage, frozen=True, kw_only=True):
    """Carries the text in force and, if it was refused, the newest one."""

    texts: tuple[PublishedText, ...]


__all__ = ('ConfigPull', 'ConfigPush', 'PublishedText', 'RevisionAnnouncement')
