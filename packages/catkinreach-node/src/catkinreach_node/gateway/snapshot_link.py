"""Takes the store's entries from a peer that has newer ones.

Each VM tells its peers which of the store's changes it has. One that lags
behind a peer for a while, whatever the reason, asks that peer for a snapshot
over TCP; so that a VM which the store refuses or doesn't answer applies
changes in time, and one that starts then gets ready.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from catkinreach_core.documents import DocumentError
from catkinreach_core.gateway.snapshot import (
    StoreSnapshot,
    decode_snapshot,
    encode_snapshot,
)
from catkinreach_core.settings.node import Address

from ..http.connection import ConnectError, ExchangeError
from ..http.messages import HttpRequest, HttpResponse
from .decision_log import Event
from .view_updater import ViewUpdater

if TYPE_CHECKING:
    from .node import Node

PULL_AFTER_RATIO = 0.3
"""Lag behind a peer after which a snapshot is asked for, as a fraction of the
time within which a published change must apply."""

PULL_SPREAD = 0.2
"""Part of the lag by which the VMs of a fleet differ."""

PULL_TIMEOUT_S = 1.0
PULL_RETRY_S = 0.2
"""Pause after a pull, and time to see whether the own read goes on."""

SNAPSHOT_PATH = '/snapshot/'
"""Path of a snapshot; the version that the peer has follows."""

SNAPSHOT_TYPE = 'application/msgpack'
STATUS_OK = 200


class SnapshotLink:
    """Asks peers for snapshots, and answers theirs."""

    def __init__(self, node: Node) -> None:
        """Prepares the link; nothing is asked for before ``run``."""
        self._node = node
        self._updater = ViewUpdater(node)

    async def run(self) -> None:
        """Catches up with the peers until cancelled."""
        while True:
            await self._node.peer_is_ahead.wait()
            self._node.peer_is_ahead.clear()
            wanted = self._node.peer_reports.newest_revision
            await asyncio.sleep(self._patience_s())
            while self._node.revision < wanted and (peers := self._ahead()):
                if await self._reads_the_store():
                    continue
                await self._pull(self._node.rng.choice(peers))
                if self._node.revision < wanted:
                    await asyncio.sleep(PULL_RETRY_S)

    async def _reads_the_store(self) -> bool:
        """Returns whether an answer of the store is arriving.

        A snapshot would fill the link that the answer comes by.
        """
        received = self._node.store_bytes()
        await asyncio.sleep(PULL_RETRY_S)
        return self._node.store_bytes() > received

    async def answer(self, request: HttpRequest) -> HttpResponse:
        """Answers a peer's request for a snapshot."""
        node = self._node
        version = request.path.removeprefix(SNAPSHOT_PATH)
        if not node.view.is_complete or not version.isdecimal():
            return HttpResponse(404)
        snapshot = StoreSnapshot.from_view(
            node.view,
            revision=node.revision,
            changed_revision=node.changed_revision,
            after_version=int(version),
            now_s=node.clock(),
        )
        headers = [('content-type', SNAPSHOT_TYPE)]
        return HttpResponse(STATUS_OK, headers, encode_snapshot(snapshot))

    def _patience_s(self) -> float:
        """Returns the lag that is borne: the own read mostly ends it."""
        apply_within_s = self._node.settings.bounds.apply_within_s
        spread = 1 - PULL_SPREAD * self._node.rng.random()
        return apply_within_s * PULL_AFTER_RATIO * spread

    def _ahead(self) -> list[str]:
        """Returns the responsive peers that have newer changes."""
        node = self._node
        revisions = node.peer_reports.revisions
        return [
            peer
            for peer in node.members.responsive(node.clock())
            if revisions.get(peer, 0) > node.revision
        ]

    async def _pull(self, peer: str) -> None:
        node = self._node
        catalog = node.view.catalog
        version = 0 if catalog is None else catalog.version
        address = Address(host=peer, port=node.settings.peer_address.port)
        request = HttpRequest('GET', f'{SNAPSHOT_PATH}{version}')
        try:
            async with (
                asyncio.timeout(PULL_TIMEOUT_S),
                node.control_http.exchange(
                    address, request, is_new_connection=True
                ) as response,
            ):
                body = await response.read()
            if response.status != STATUS_OK:
                raise ExchangeError(f'status {response.status}')
            snapshot = decode_snapshot(body)
        except (
            ConnectError,
            ExchangeError,
            TimeoutError,
            DocumentError,
        ) as error:
            self._log(peer, 'failed', reason=str(error) or 'timed out')
            return
        if snapshot.revision > node.revision:
            self._apply(snapshot)
            self._log(peer, 'taken', upstreams=len(snapshot.upstreams))

    def _apply(self, snapshot: StoreSnapshot) -> None:
        node = self._node
        node.view.extend_grace(snapshot.expiry_grace_s, node.clock())
        self._updater.apply_listing(snapshot.to_listing())
        node.changed_revision = snapshot.changed_revision

    def _log(self, peer: str, outcome: str, **inputs: object) -> None:
        node = self._node
        read_age_s = node.store_read_age_s
        node.log.write(
            Event.SNAPSHOT,
            peer=peer,
            outcome=outcome,
            revision=node.revision,
            read_age_s=None if read_age_s is None else round(read_age_s, 3),
            **inputs,
        )


__all__ = ('SnapshotLink',)
