"""The accepted settings and VM list of this process."""

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
    """Holds the newest accepted revisions; revisions only grow."""

    def __init__(self) -> None:
        """Starts without settings and with an empty list."""
        self._settings: FleetSettings | None = None
        self._text = ''
        self._held = PublishedText(Revision(0), '')
        self._refusal: str | None = None
        self._keys = KeyRing({})
        self._vms = VmList()
        self._listeners: list[Callable[[], None]] = []
        self._accepted = asyncio.Event()

    @property
    def settings(self) -> FleetSettings:
        """Returns the accepted settings.

        Raises:
            CatkinreachError: ``CONFIG_MISSING`` if there are none yet.
        """
        if self._settings is None:
            raise CatkinreachError(ErrorKind.CONFIG_MISSING)
        return self._settings

    @property
    def has_settings(self) -> bool:
        """Tells whether any settings have been accepted."""
        return self._settings is not None

    @property
    def text(self) -> str:
        """Returns the text of the accepted settings."""
        return self._text

    @property
    def revision(self) -> Revision:
        """Returns the accepted revision, 0 if there is none."""
        if self._settings is None:
            return Revision(0)
        return self._settings.revision

    @property
    def held_revision(self) -> Revision:
        """Returns the newest revision held, in force or refused."""
        return self._held.revision

    @property
    def refusal(self) -> str | None:
        """Returns why the newest text is not in force, if it is not."""
        return self._refusal

    @property
    def texts(self) -> tuple[PublishedText, ...]:
        """Returns the text in force and a newer one that was refused."""
        in_force = PublishedText(self.revision, self._text)
        held = (in_force,) if self.has_settings else ()
        if self._held.revision > in_force.revision:
            return (*held, self._held)
        return held

    @property
    def keys(self) -> KeyRing:
        """Returns the keys in force."""
        return self._keys

    @property
    def vms(self) -> VmList:
        """Returns the newest VM list."""
        return self._vms

    def on_change(self, listener: Callable[[], None]) -> None:
        """Calls the listener after each accepted settings or list."""
        self._listeners.append(listener)

    def record_published(self, published: PublishedText) -> bool:
        """Keeps a newer text before it is checked; returns False for old."""
        if published.revision <= self._held.revision:
            return False
        self._held = published
        return True

    def refuse(self, revision: Revision, reason: str) -> None:
        """Notes why a text is not put in force."""
        if revision == self._held.revision:
            self._refusal = f'revision {revision}: {reason}'
            self._notify()

    def accept_settings(self, settings: FleetSettings, text: str) -> bool:
        """Takes newer settings; returns False for an old revision."""
        if settings.revision <= self.revision:
            return False
        self._settings = settings
        self._text = text
        self.record_published(PublishedText(settings.revision, text))
        if settings.revision == self._held.revision:
            self._refusal = None
        self._keys = KeyRing.from_settings(settings)
        self._accepted.set()
        self._notify()
        return True

    def accept_vms(self, vms: VmList) -> bool:
        """Takes a newer list; returns False for an old revision."""
        if vms.revision <= self._vms.revision:
            return False
        self._vms = vms
        self._notify()
        return True

    async def wait_settings(self) -> None:
        """Waits until any settings have been accepted."""
        await self._accepted.wait()

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()


__all__ = ('FleetState',)
