"""Exchange of VM lists between the nodes."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from catkinreach_core.errors import CatkinreachError
from catkinreach_core.messages.leases import ListPull, ListPush

from ..peers.transport import PeerUnreachableError

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinreach_core.ids import Revision, VmId

    from ..config.state import FleetState
    from ..peers.transport import PeerTransport
    from .core import FleetCore

PULL_TIMEOUT_S = 0.5
"""Timeout of a pull of VM lists from a peer."""


class ListExchange:
    """Fetches VM lists that a peer knows and this node lacks."""

    def __init__(
        self, core: FleetCore, state: FleetState, transport: PeerTransport
    ) -> None:
        """Starts to serve peers' pulls."""
        self._core = core
        self._state = state
        self._transport = transport
        self._pulls: dict[VmId, asyncio.Task[None]] = {}
        self._listeners: list[Callable[[], None]] = []
        transport.on_call(ListPull, self._handle_pull)

    def fetch_missing(
        self, peer: VmId, revisions: tuple[Revision, ...]
    ) -> None:
        """Pulls the lists that this node lacks of a peer's revisions."""
        missing = self._core.ownership.history.missing_revisions(revisions)
        if not missing or peer in self._pulls:
            return
        task = asyncio.create_task(self._pull(peer, missing))
        self._pulls[peer] = task
        task.add_done_callback(lambda _: self._pulls.pop(peer))

    def close(self) -> None:
        """Cancels the pulls in progress."""
        for task in tuple(self._pulls.values()):
            task.cancel()

    async def _pull(self, peer: VmId, missing: tuple[Revision, ...]) -> None:
        pull = ListPull(revisions=missing)
        try:
            push = await self._transport.call(
                peer, pull, ListPush, timeout_s=PULL_TIMEOUT_S
            )
        except (PeerUnreachableError, CatkinreachError):
            return
        now_s = time.monotonic()
        for vm_list in push.lists:
            self._core.ownership.history.add_list(vm_list, now_s)
            self._state.accept_vms(vm_list)

    async def _handle_pull(self, _: VmId, pull: ListPull) -> ListPush:
        return ListPush(
            lists=self._core.ownership.history.lists(pull.revisions)
        )


__all__ = ('ListExchange',)
