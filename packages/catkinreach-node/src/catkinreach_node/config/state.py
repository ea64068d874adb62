"""The fleet settings and VM list that this process has accepted."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from catkinreach_core.errors import CatkinreachError, ErrorKind
from catkinreach_core.fleet_list import VmList
from catkinreach_core.ids import Revision
from catkinreach_core.keys import KeyRing
from catkinreach_core.messages.relay import PublishedText

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinreach_core.settings.fleet import FleetSettings


class FleetState:
    """The newest accepted settings and VM list.

    The revisions never decrease; older settings and lists are ignored.
    """

    def __init__(self) -> None:
        """Starts without settings and with an empty VM list."""
        self._settings: FleetSettings | None = None
        self._text = ''
        self._newest_text = PublishedText(Revision(0), '')
        self._refusal: str | None = None
        self._keys = KeyRing({})
        self._vms = VmList()
        self._listeners: list[Callable[[], None]] = []
        self._accepted = asyncio.Event()

    @property
    def settings(self) -> FleetSettings:
        """Returns the accepted settings.

        Raises:
            CatkinreachError: ``CONFIG_MISSING`` if none have been accepted.
        """
        if self._settings is None:
            raise CatkinreachError(ErrorKind.CONFIG_MISSING)
        return self._settings

    @property
    def has_settings(self) -> bool:
        """Returns whether any settings have been accepted."""
        return self._settings is not None

    @property
    def text(self) -> str:
        """Returns the published text of the accepted settings."""
        return self._text

    @property
    def revision(self) -> Revision:
        """Returns the accepted revision, 0 without settings."""
        if self._settings is None:
            return Revision(0)
        return self._settings.revision

    @property
    def received_revision(self) -> Revision:
        """Returns the newest revision received, accepted or refused."""
        return self._newest_text.revision

    @property
    def refusal(self) -> str | None:
        """Returns why the newest text was refused, ``None`` if it was not."""
        return self._refusal

    @property
    def published_texts(self) -> tuple[PublishedText, ...]:
        """Returns the accepted text and the newest received one, if newer."""
        accepted = PublishedText(self.revision, self._text)
        texts = (accepted,) if self.has_settings else ()
        if self._newest_text.revision > accepted.revision:
            return (*texts, self._newest_text)
        return texts

    @property
    def keys(self) -> KeyRing:
        """Returns the API keys of the accepted settings."""
        return self._keys

    @property
    def vms(self) -> VmList:
        """Returns the newest accepted VM list."""
        return self._vms

    def on_change(self, listener: Callable[[], None]) -> None:
        """Registers a listener that is called after each change."""
        self._listeners.append(listener)

    def record_published(self, published: PublishedText) -> bool:
        """Stores a text, not yet parsed; returns False for an old revision."""
        if published.revision <= self._newest_text.revision:
            return False
        self._newest_text = published
        return True

    def record_refusal(self, revision: Revision, reason: str) -> None:
        """Records why a text was refused if no newer one was received."""
        if revision == self._newest_text.revision:
            self._refusal = f'revision {revision}: {reason}'
            self._notify_listeners()

    def accept_settings(self, settings: FleetSettings, text: str) -> bool:
        """Accepts newer settings; returns False for an old revision."""
        if settings.revision <= self.revision:
            return False
        self._settings = settings
        self._text = text
        self.record_published(PublishedText(settings.revision, text))
        if settings.revision == self._newest_text.revision:
            self._refusal = None
        self._keys = KeyRing.from_settings(settings)
        self._accepted.set()
        self._notify_listeners()
        return True

    def accept_vms(self, vms: VmList) -> bool:
        """Accepts a newer VM list; returns False for an old revision."""
        if vms.revision <= self._vms.revision:
            return False
        self._vms = vms
        self._notify_listeners()
        return True

    async def wait_settings(self) -> None:
        """Waits until any settings have been accepted."""
        await self._accepted.wait()

    def _notify_listeners(self) -> None:
        for listener in self._listeners:
            listener()


__all__ = ('FleetState',)
