"""Part: queue and placement as the stages of a request see them."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager, suppress
from typing import TYPE_CHECKING

from catkinreach_core.cell.placement_request import Granted, PlacementRequest
from catkinreach_core.cell.reservations import AttemptResult
from catkinreach_core.errors import CatkinreachError
from catkinreach_core.ownership.shards import cell_shard
from catkinreach_core.placement.policy import Placement
from catkinreach_core.settings.fleet import QueuePolicy, ServiceKind

from ..component import NodeComponent
from ..session.interfaces import Reservation, Scheduler
from .owner_link import OwnerLink

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Mapping

    from catkinreach_core.ids import RequestId, ServiceId
    from catkinreach_core.placement.policy import WorkItem
    from catkinreach_core.settings.fleet import Service

    from ..component import NodeContext
    from ..session.context import SessionContext
    from .baseline_scheduler import BaselineScheduler
    from .cell_owner import CellOwner
    from .live_attempts import LiveAttempts

RENEW_S = 0.3
_BASELINES = frozenset({QueuePolicy.ROUND_ROBIN, QueuePolicy.LEAST_LOAD})


class CellReservation(Reservation):
    """Places that a cell's owner reserved for one attempt."""

    def __init__(
        self, link: OwnerLink, granted: Granted, engine_request_id: RequestId
    ) -> None:
        """Starts with nothing reported."""
        self._link = link
        self._granted = granted
        self._engine_request_id = engine_request_id
        self._is_ended = False

    @property
    def placement(self) -> Placement:
        """Returns the upstreams that hold the places."""
        return Placement(self._granted.prefill, self._granted.decode)

    @property
    def engine_request_id(self) -> RequestId:
        """Returns the id under which the engines know the attempt."""
        return self._engine_request_id

    def report_prefill(self, cached_tokens: int) -> None:
        """Reports the end of the prefill."""
        self._link.prefilled(self._granted, cached_tokens)

    def report_first_token(self) -> None:
        """Reports the first token."""
        self._link.started(self._granted)

    def report_end(self, ending: AttemptResult) -> None:
        """Reports the end; only the first report counts."""
        if self._is_ended:
            return
        self._is_ended = True
        failure = ending.failure
        self._link.ended(
            self._link.ending_of(
                self._granted,
                is_complete=ending.is_complete,
                tokens=ending.tokens,
                token_s=ending.token_s,
                failed=failure.upstream_id if failure else None,
                failure=failure.kind.value if failure else '',
            )
        )


class CellScheduler(NodeComponent, Scheduler):
    """Entry side of all cells."""

    def __init__(
        self,
        context: NodeContext,
        owner: CellOwner,
        live_attempts: LiveAttempts,
        baseline: BaselineScheduler,
    ) -> None:
        """Keeps the local owner part, which other nodes may ask too."""
        self._context = context
        self._owner = owner
        self._live_attempts = live_attempts
        self._baseline = baseline
        self._links: dict[ServiceId, OwnerLink] = {}
        self._renewing: set[asyncio.Task[None]] = set()

    @property
    def name(self) -> str:
        """Returns the key of the part in the status document."""
        return 'scheduler'

    async def run(self) -> None:
        """Renews what this node holds with each cell's owner."""
        while True:
            with suppress(CatkinreachError):
                self._renew_all()
            await asyncio.sleep(RENEW_S)

    async def hand_over(self) -> None:
        """Has nothing to hand over: requests in flight are finished."""

    def status(self) -> Mapping[str, object]:
        """Returns what this node holds of each cell."""
        return {
            service_id: {
                'held': link.live_count,
                'is_cut': link.is_cut,
                'placed_alone': link.placed_alone,
            }
            for service_id, link in self._links.items()
        }

    @asynccontextmanager
    async def reserve(
        self,
        session: SessionContext,
        work: WorkItem,
        *,
        is_resume: bool = False,
    ) -> AsyncIterator[Reservation]:
        """Waits for a reservation and releases it on exit.

        Raises:
            CatkinreachError: a refusal before this attempt ran.
        """
        policy = self._context.state.settings.queue.policy
        if policy in _BASELINES:
            async with self._baseline.reserve(
                session, work, is_resume=is_resume
            ) as reservation:
                yield reservation
            return
        link = self._link_of(session.service)
        ask = self._ask(work, is_resume=is_resume)
        granted = await link.place(ask, session.accepted_at_s)
        key = self._live_attempts.add(granted)
        held = CellReservation(link, granted, key)
        try:
            yield held
        finally:
            self._live_attempts.remove(key)
            held.report_end(AttemptResult(is_complete=False))

    def _ask(self, work: WorkItem, *, is_resume: bool) -> PlacementRequest:
        return PlacementRequest(
            request_id=work.request_id,
            attempt=work.attempt,
            vm_id=self._context.settings.vm_id,
            workspace_id=work.workspace_id,
            prompt_tokens=work.prompt_tokens,
            max_tokens=work.max_tokens,
            blocks=work.blocks,
            digest=work.digest,
            is_resume=is_resume,
            excluded=work.excluded,
        )

    def _link_of(self, service: Service) -> OwnerLink:
        link = self._links.get(service.service_id)
        if link is None:
            shard = cell_shard(service.service_id)
            link = OwnerLink(self._context, self._owner, shard, service)
            self._links[service.service_id] = link
        return link

    def _renew_all(self) -> None:
        for service in self._context.state.settings.services.values():
            if service.kind is ServiceKind.MODEL:
                link = self._link_of(service)
                link.tick()
                task = asyncio.create_task(link.renew())
                self._renewing.add(task)
                task.add_done_callback(self._renewing.discard)


__all__ = ('CellReservation', 'CellScheduler')
