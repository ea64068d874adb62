"""Baseline policies for measurements, without a queue or a cell owner.

Each node places its requests from its own state only.
"""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager, suppress
from typing import TYPE_CHECKING

from catkinreach_core.cell.placement_request import Granted, PlacementRequest
from catkinreach_core.documents import DocumentError, decode_json
from catkinreach_core.errors import CatkinreachError, ErrorKind
from catkinreach_core.placement.least_load import LeastLoadPolicy, LoadReport
from catkinreach_core.placement.round_robin import RoundRobinPolicy
from catkinreach_core.settings.fleet import QueuePolicy, ServiceKind

from ..component import NodeComponent
from ..http.connection import ConnectError, ExchangeError
from ..session.engine_client import upstream_address
from ..session.interfaces import Reservation, Scheduler, UntrackedReservation

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Mapping

    from catkinreach_core.ids import PoolId
    from catkinreach_core.placement.policy import WorkItem
    from catkinreach_core.settings.fleet import FleetSettings, Upstream

    from ..component import NodeContext
    from ..session.context import SessionContext
    from .live_attempts import LiveAttempts

LOAD_POLL_INTERVAL_S = 0.5
"""Time between two polls of the load of all model engines."""

LOAD_TIMEOUT_S = 0.4
"""Timeout of the poll of one engine."""


class BaselineScheduler(NodeComponent, Scheduler):
    """Places each request at once, without the owner of the cell.

    It serves the policies ``round-robin`` and ``least-load``, against which
    placement by an owner is measured.
    """

    def __init__(
        self, context: NodeContext, live_attempts: LiveAttempts
    ) -> None:
        """Starts without load reports."""
        self._context = context
        self._live_attempts = live_attempts
        self._least_load = LeastLoadPolicy()
        self._round_robin = RoundRobinPolicy()

    @property
    def name(self) -> str:
        """Returns the key of the component in the status document."""
        return 'baseline'

    async def run(self) -> None:
        """Polls the load of all model engines under ``least-load``."""
        while True:
            with suppress(CatkinreachError):
                settings = self._context.state.settings
                if settings.queue.policy is QueuePolicy.LEAST_LOAD:
                    await asyncio.gather(
                        *(
                            self._poll_load(upstream)
                            for upstream in _model_engines(settings)
                        )
                    )
            await asyncio.sleep(LOAD_POLL_INTERVAL_S)

    async def hand_over(self) -> None:
        """Does nothing: the component owns no shard."""

    def status(self) -> Mapping[str, object]:
        """Returns how many engines have reported their load."""
        return {'load_reports': self._least_load.report_count}

    @asynccontextmanager
    async def reserve(
        self,
        session: SessionContext,
        work: WorkItem,
        *,
        is_resume: bool = False,  # noqa: ARG002 - part of the protocol
    ) -> AsyncIterator[Reservation]:
        """Places a request at once.

        Raises:
            CatkinreachError: ``NO_UPSTREAM``.
        """
        settings = session.settings
        is_least_load = settings.queue.policy is QueuePolicy.LEAST_LOAD
        policy = self._least_load if is_least_load else self._round_robin
        placement = policy.place(
            work,
            _engines_in_service(settings, session.service.prefill_pool),
            _engines_in_service(settings, session.service.decode_pool),
        )
        if placement is None:
            raise CatkinreachError(ErrorKind.NO_UPSTREAM)
        request = PlacementRequest(
            request_id=work.request_id,
            attempt=work.attempt,
            vm_id=self._context.settings.vm_id,
            workspace_id=work.workspace_id,
            prompt_tokens=work.prompt_tokens,
            max_tokens=work.max_tokens,
        )
        engine_request_id = self._live_attempts.add(
            Granted(request, placement.prefill, placement.decode)
        )
        try:
            yield UntrackedReservation(placement, engine_request_id)
        finally:
            self._live_attempts.remove(engine_request_id)

    async def _poll_load(self, upstream: Upstream) -> None:
        try:
            async with asyncio.timeout(LOAD_TIMEOUT_S):
                _, body = await self._context.client.call_json(
                    upstream_address(upstream), 'GET', '/v1/load'
                )
            report = decode_json(body, LoadReport)
        except (ConnectError, ExchangeError, TimeoutError):
            return
        except DocumentError:
            return
        self._least_load.record_report(upstream.upstream_id, report)


def _engines_in_service(
    settings: FleetSettings, pool_id: PoolId | None
) -> list[Upstream]:
    return [
        upstream
        for upstream in settings.upstreams_of(pool_id)
        if settings.is_in_service(upstream)
    ]


def _model_engines(settings: FleetSettings) -> list[Upstream]:
    pools = {
        pool_id
        for service in settings.services.values()
        if service.kind is ServiceKind.MODEL
        for pool_id in (service.prefill_pool, service.decode_pool)
    }
    return [
        upstream
        for upstream in settings.upstreams.values()
        if upstream.pool_id in pools
    ]


__all__ = ('BaselineScheduler',)
