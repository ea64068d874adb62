"""Component through which request handlers reserve engines."""

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

RENEW_INTERVAL_S = 0.3
"""Time between two renewals of the node's reservations."""

_BASELINES = frozenset({QueuePolicy.ROUND_ROBIN, QueuePolicy.LEAST_LOAD})


class CellReservation(Reservation):
    """Engines reserved for one attempt; reports its progress to the owner."""

    def __init__(
        self, link: OwnerLink, granted: Granted, engine_request_id: RequestId
    ) -> None:
        """Starts before the prefill."""
        self._link = link
        self._granted = granted
        self._engine_request_id = engine_request_id
        self._is_ended = False

    @property
    def placement(self) -> Placement:
        """Returns the reserved prefill and decode engines."""
        return Placement(self._granted.prefill, self._granted.decode)

    @property
    def engine_request_id(self) -> RequestId:
        """Returns the id of the attempt on the engines."""
        return self._engine_request_id

    def report_prefill(self, cached_tokens: int) -> None:
        """Reports the end of the prefill."""
        self._link.report_prefill(self._granted, cached_tokens)

    def report_first_token(self) -> None:
        """Reports the first token."""
        self._link.report_first_token(self._granted)

    def report_kept(self) -> None:
        """Lets the owner learn of the reservation again."""
        self._link.report_kept(self._granted)

    def report_end(self, result: AttemptResult) -> None:
        """Reports the end of the attempt; later calls do nothing."""
        if self._is_ended:
            return
        self._is_ended = True
        failure = result.failure
        self._link.report_end(
            self._link.make_end_report(
                self._granted,
                is_complete=result.is_complete,
                tokens=result.tokens,
                token_s=result.token_s,
                failed=failure.upstream_id if failure else None,
                failure=failure.kind.value if failure else '',
            )
        )


class CellScheduler(NodeComponent, Scheduler):
    """Reserves engines for this node's requests, in all cells.

    Each model service has a cell, which is reached through an ``OwnerLink``.
    Under the baseline policies there is no owner to reach.
    """

    def __init__(
        self,
        context: NodeContext,
        owner: CellOwner,
        live_attempts: LiveAttempts,
        baseline: BaselineScheduler,
    ) -> None:
        """Starts without links; ``owner`` holds the cells owned here."""
        self._context = context
        self._owner = owner
        self._live_attempts = live_attempts
        self._baseline = baseline
        self._links: dict[ServiceId, OwnerLink] = {}
        self._renewal_tasks: set[asyncio.Task[None]] = set()

    @property
    def name(self) -> str:
        """Returns the key of the component in the status document."""
        return 'scheduler'

    async def run(self) -> None:
        """Reports the live reservations to each cell's owner, periodically."""
        while True:
            with suppress(CatkinreachError):
                self._renew_all()
            await asyncio.sleep(RENEW_INTERVAL_S)

    async def hand_over(self) -> None:
        """Does nothing: requests in flight run to their end on this node."""

    def status(self) -> Mapping[str, object]:
        """Returns this node's reservations in each cell."""
        return {
            service_id: {
                'held': link.held_count,
                'is_cut': link.is_owner_unreachable,
                'placed_alone': link.placed_locally,
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
        request = self._make_request(work, is_resume=is_resume)
        granted = await link.place(request, session.accepted_at_s)
        engine_request_id = self._live_attempts.add(granted)
        cell_reservation = CellReservation(link, granted, engine_request_id)
        try:
            yield cell_reservation
        finally:
            self._live_attempts.remove(engine_request_id)
            cell_reservation.report_end(AttemptResult(is_complete=False))

    def _make_request(
        self, work: WorkItem, *, is_resume: bool
    ) -> PlacementRequest:
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
                link.retry_failed_engines()
                task = asyncio.create_task(link.renew())
                self._renewal_tasks.add(task)
                task.add_done_callback(self._renewal_tasks.discard)


__all__ = ('CellReservation', 'CellScheduler')
