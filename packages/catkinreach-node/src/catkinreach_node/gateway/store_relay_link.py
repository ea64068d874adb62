"""Passes the store's changes on between the VMs of a large fleet."""

from __future__ import annotations

import asyncio
import time
from contextlib import suppress
from typing import TYPE_CHECKING

from catkinreach_core.gateway.early_changes import lasting_stops
from catkinreach_core.gateway.feed import CatalogPublished
from catkinreach_core.gateway.gossip import (
    StoreBeacon,
    StoreChanges,
    encode_gossip,
)
from catkinreach_core.gateway.store_relay import (
    BEACON_INTERVAL_S,
    StoreRelay,
    has_next_changes,
)

from .decision_log import Event

if TYPE_CHECKING:
    from collections.abc import Sequence

    from catkinreach_core.gateway.feed import (
        Change,
        ChangeBatch,
        SmallChange,
    )
    from catkinreach_core.ids import Revision

    from .node import Node
    from .view_updater import ViewUpdater

MAX_RELAYED_BYTES = 1_300
"""Longer messages aren't relayed: each VM reads such changes itself, so that a
reader's link isn't filled with copies."""


DEPENDENCY = 'store-readers'
"""Name of the readers in the log."""


class StoreRelayLink:
    """Sends what this VM reads, if it is a reader, and applies what others do.

    Ages are taken from a clock that also runs while the VM is suspended.
    """

    def __init__(self, node: Node, updater: ViewUpdater) -> None:
        """Prepares the link; nothing is sent before ``run``."""
        self._node = node
        self._updater = updater
        settings = node.settings
        self._relay = StoreRelay(
            settings.host, apply_within_s=settings.bounds.apply_within_s
        )
        self._read_at_s: float | None = None
        self._is_needed = asyncio.Event()
        node.peer_handlers[StoreBeacon] = self._take_beacon
        node.peer_handlers[StoreChanges] = self._take_changes

    async def run(self) -> None:
        """Chooses the readers and sends beacons until cancelled."""
        while True:
            node = self._node
            responsive = node.members.responsive(node.clock())
            self._relay.update_readers(responsive)
            if self._relay.is_reader:
                self._is_needed.set()
                self._send_beacon()
            await asyncio.sleep(BEACON_INTERVAL_S)

    def watch_wait_s(self, default_s: float) -> float:
        """Returns the long-poll time of this VM's next watch."""
        if not self._relay.is_reader:
            return default_s
        return min(default_s, self._relay.reader_wait_s)

    async def wait_until_needed(self) -> None:
        """Waits while this VM can rely on readers."""
        if not self._relay.relies_for_s(_now_s()):
            return
        self._log(Event.DEPENDENCY_BACK)
        while wait_s := self._relay.relies_for_s(_now_s()):
            self._is_needed.clear()
            with suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self._is_needed.wait()
        self._log(
            Event.DEPENDENCY_LOST,
            reason=self._relay.reading_reason,
            read_age_s=round(self._relay.read_age_s(_now_s()), 3),
        )

    def _log(self, event: Event, **inputs: object) -> None:
        self._node.log.write(
            event,
            dependency=DEPENDENCY,
            revision=self._node.revision,
            **inputs,
        )

    def record_listing(self, revision: Revision) -> None:
        """Records a listing, which doesn't tell what changed before it."""
        self._read_at_s = _now_s()
        self._node.changed_revision = revision
        self._relay.record_held()

    def record_batch(self, batch: ChangeBatch) -> None:
        """Records an answer to a watch, and relays its changes."""
        self._read_at_s = _now_s()
        self._relay.record_held()
        if not batch.changes:
            return
        after = self._node.changed_revision
        self._node.changed_revision = batch.revision
        if self._relay.is_reader:
            self._relay_changes(after, batch.revision, batch.changes)

    def _relay_changes(
        self, after: Revision, revision: Revision, changes: Sequence[Change]
    ) -> None:
        small: list[SmallChange] = [
            change
            for change in changes
            if not isinstance(change, CatalogPublished)
        ]
        is_partial = len(small) < len(changes)
        if is_partial:
            small = lasting_stops(small)
        if not small:
            return
        node = self._node
        data = encode_gossip(
            StoreChanges(
                node=node.settings.host,
                # Builds that don't know partial changes take these for old ones
                # and read the store; else they would miss what is left out.
                after=revision if is_partial else after,
                revision=revision,
                expiry_grace_s=node.view.remaining_grace_s(node.clock()),
                changes=small,
                is_partial=is_partial,
            )
        )
        if len(data) <= MAX_RELAYED_BYTES:
            self._send_to_all(data)

    def _send_beacon(self) -> None:
        if self._read_at_s is None:
            return
        beacon = StoreBeacon(
            node=self._node.settings.host,
            revision=self._node.revision,
            changed_revision=self._node.changed_revision,
            age_s=_now_s() - self._read_at_s,
        )
        self._send_to_all(encode_gossip(beacon))

    def _send_to_all(self, data: bytes) -> None:
        for host in self._node.members.contacts:
            self._node.send_datagram(host, data)

    def _take_beacon(self, beacon: StoreBeacon) -> None:
        """Applies a beacon; the listing must have been read before."""
        node = self._node
        if self._read_at_s is None or not self._relay.accepts(beacon.node):
            return
        node.revision = self._relay.record_beacon(
            beacon, held=node.revision, now_s=_now_s()
        )
        if self._relay.lacks_changes:
            self._is_needed.set()

    def _take_changes(self, message: StoreChanges) -> None:
        """Applies relayed changes; early if they don't continue its own."""
        node = self._node
        if self._read_at_s is None or not self._relay.accepts(message.node):
            return
        if message.is_partial or not has_next_changes(
            node.revision, message.after, message.revision
        ):
            self._apply_early(message)
            return
        node.view.extend_grace(message.expiry_grace_s, node.clock())
        for change in message.changes:
            self._updater.apply_change(change)
        self._updater.complete(message.revision)
        node.changed_revision = message.revision
        self._relay.record_held()

    def _apply_early(self, message: StoreChanges) -> None:
        """Applies changes that stop work; what precedes them is read later."""
        node = self._node
        if message.revision <= node.revision:
            return
        node.view.extend_grace(message.expiry_grace_s, node.clock())
        changes = lasting_stops(message.changes)
        node.early_changes.note(message.revision, changes)
        for change in changes:
            self._updater.apply_change(change)


def _now_s() -> float:
    """Returns a time that also advances while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


__all__ = ('StoreRelayLink',)
