"""Leases slices of rate limits from the shard owners for this node."""

from __future__ import annotations

import asyncio
import itertools
import math
import time
from contextlib import suppress
from typing import TYPE_CHECKING, Final

from loguru import logger

from catkinreach_core.errors import CatkinreachError, ErrorKind
from catkinreach_core.limits.limiter import Cost, WorkspaceLimiter
from catkinreach_core.limits.parameters import WorkspaceLimits
from catkinreach_core.messages.limits import (
    LimitHandover,
    LimitHandoverAck,
    SliceGrant,
    SliceRequest,
)
from catkinreach_core.ownership.shards import limit_shard

from ..peers.transport import PeerUnreachableError
from ..session.interfaces import UnlimitedGrant
from .service import LimitService

if TYPE_CHECKING:
    from collections.abc import Mapping

    from catkinreach_core.ids import VmId, WorkspaceId

    from ..component import NodeContext
    from ..session.context import SessionContext
    from ..session.interfaces import LimitGrant
    from .admissions import AdmissionSink

TICK_S: Final = 0.05
SLICE_REQUEST_TIMEOUT_S: Final = 0.3
HANDOVER_TIMEOUT_S: Final = 1.0
READY_TIMEOUT_S: Final = 10.0
"""Time after which a node reports ready although owners are missing."""


class SliceGrantHandle:
    """Admission of one request, with the tokens reserved for it."""

    def __init__(
        self, limiter: WorkspaceLimiter, number: int, reserved_tokens: int
    ) -> None:
        """Stores the reservation."""
        self._limiter = limiter
        self._number = number
        self._reserved_tokens = reserved_tokens

    def settle(self, used_tokens: int) -> None:
        """Refunds the tokens that the request did not use."""
        unused = self._reserved_tokens - used_tokens
        self._limiter.settle(self._number, unused, time.monotonic())


class LimitTask:
    """Admits requests within the rate limits of their workspaces.

    It also grants slices of the limit shards that this node owns.
    """

    def __init__(self, context: NodeContext, sink: AdmissionSink) -> None:
        """Registers the message handlers."""
        self._context = context
        self._sink = sink
        self._service = LimitService(context)
        self._limiters: dict[WorkspaceId, WorkspaceLimiter] = {}
        self._futures: dict[int, asyncio.Future[None]] = {}
        self._numbers = itertools.count(1)
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_ready = False
        self._probing_since_s = math.inf
        self._counts = {'admitted': 0, 'refused': 0, 'asks': 0}
        context.transport.on_call(SliceRequest, self._service.respond)
        context.transport.on_call(LimitHandover, self._service.store_handover)
        context.state.on_change(self._apply_settings)

    @property
    def name(self) -> str:
        """Returns the key of the component in the status document."""
        return 'limits'

    @property
    def is_ready(self) -> bool:
        """Returns whether the node votes and every shard owner granted units.

        A rolling restart that waits for this stops no voting node before
        this one knows the current owners.

        A node that has waited ``READY_TIMEOUT_S`` for owners counts as ready
        too. Once true the value stays true: a lost owner is no reason to take
        nodes out of service.
        """
        return self._is_ready

    async def admit(self, session: SessionContext, tokens: int) -> LimitGrant:
        """Admits one request of up to that many tokens.

        Raises:
            CatkinreachError: ``RATE_LIMITED``, or ``NO_OWNER`` if no owner
                answered in time.
        """
        workspace_id = session.workspace_id
        if workspace_id is None:
            return UnlimitedGrant()
        limiter = self._limiter(workspace_id)
        number = next(self._numbers)
        cost = Cost(1.0, float(tokens))
        if limiter.try_admit(number, cost, time.monotonic()):
            self._advance_limiter(limiter)
        else:
            await self._wait_for_admission(limiter, number, cost)
        self._counts['admitted'] += 1
        self._sink.record_admission(workspace_id, tokens)
        return SliceGrantHandle(limiter, number, tokens)

    async def run(self) -> None:
        """Renews and returns slices until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            self._probe_owners()
            for limiter in tuple(self._limiters.values()):
                self._advance_limiter(limiter)

    async def hand_over(self) -> None:
        """Sends the lease tables to the successors of this node's shards."""
        handovers = self._service.close(time.monotonic())
        async with asyncio.TaskGroup() as group:
            for handover in handovers:
                successor = self._context.tenures.successor_of(handover.shard)
                if successor is not None:
                    group.create_task(self._send_handover(successor, handover))

    def status(self) -> Mapping[str, object]:
        """Returns the counters and the free units and queue by workspace."""
        now_s = time.monotonic()
        return {
            **self._counts,
            'owned_shards': self._service.lease_table_count,
            'workspaces': {
                workspace_id: {
                    'waiting': limiter.queued_count,
                    'requests_at_hand': round(limiter.free(now_s)[0], 3),
                    'tokens_at_hand': round(limiter.free(now_s)[1], 3),
                }
                for workspace_id, limiter in self._limiters.items()
            },
        }

    def _probe_owners(self) -> None:
        """Requests units of each shard's owner until the node is ready."""
        if self._is_ready or not self._context.state.has_settings:
            return
        self._probing_since_s = min(self._probing_since_s, time.monotonic())
        by_shard = {
            limit_shard(workspace_id): workspace_id
            for workspace_id in self._context.state.settings.workspaces
        }
        limiters = [self._limiter(probed_id) for probed_id in by_shard.values()]
        for limiter in limiters:
            limiter.start_probe()
        waited_s = time.monotonic() - self._probing_since_s
        has_collected_terms = self._context.tenures.has_collected_terms
        has_probed_owner = has_collected_terms and all(
            limiter.has_probed_owner for limiter in limiters
        )
        self._is_ready = has_probed_owner or waited_s > READY_TIMEOUT_S

    async def _wait_for_admission(
        self, limiter: WorkspaceLimiter, number: int, cost: Cost
    ) -> None:
        future = asyncio.get_running_loop().create_future()
        self._futures[number] = future
        try:
            limiter.enqueue(number, cost, time.monotonic())
            self._advance_limiter(limiter)
            await future
        except CatkinreachError:
            self._counts['refused'] += 1
            raise
        except asyncio.CancelledError:
            limiter.cancel(number)
            raise
        finally:
            del self._futures[number]

    def _limiter(self, workspace_id: WorkspaceId) -> WorkspaceLimiter:
        limiter = self._limiters.get(workspace_id)
        if limiter is None:
            workspaces = self._context.state.settings.workspaces
            limiter = WorkspaceLimiter(
                workspace_id,
                self._context.incarnation,
                WorkspaceLimits.from_workspace(workspaces[workspace_id]),
            )
            self._limiters[workspace_id] = limiter
        return limiter

    def _apply_settings(self) -> None:
        if not self._context.state.has_settings:
            return
        workspaces = self._context.state.settings.workspaces
        for workspace_id, limiter in tuple(self._limiters.items()):
            if workspace_id in workspaces:
                limiter.limits = WorkspaceLimits.from_workspace(
                    workspaces[workspace_id]
                )
            elif not limiter.queued_count:
                del self._limiters[workspace_id]

    def _advance_limiter(self, limiter: WorkspaceLimiter) -> None:
        """Completes decided admissions and sends a slice request if due."""
        for decision in limiter.resolve_queued(time.monotonic()):
            future = self._futures.get(decision.number)
            if future is None or future.done():
                continue
            if decision.refusal is None:
                future.set_result(None)
            else:
                future.set_exception(decision.refusal)
        slice_request = limiter.next_slice_request(time.monotonic())
        if slice_request is not None:
            self._counts['asks'] += 1
            task = asyncio.create_task(
                self._request_slices(limiter, slice_request)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _request_slices(
        self, limiter: WorkspaceLimiter, slice_request: SliceRequest
    ) -> None:
        grant: SliceGrant | None = None
        try:
            with suppress(PeerUnreachableError, CatkinreachError):
                grant = await self._call_owner(slice_request)
        finally:
            # Whatever happens: the limiter asks again only after an end.
            if grant is None:
                limiter.on_failure(slice_request.sequence, time.monotonic())
        if grant is not None:
            limiter.on_grant(grant, time.monotonic())
        self._advance_limiter(limiter)

    async def _call_owner(self, slice_request: SliceRequest) -> SliceGrant:
        owner = self._context.ownership.owner_of(
            limit_shard(slice_request.workspace_id)
        )
        if owner is None:
            raise CatkinreachError(ErrorKind.NO_OWNER)
        if owner == self._context.settings.vm_id:
            return await self._service.respond(owner, slice_request)
        return await self._context.transport.call(
            owner, slice_request, SliceGrant, timeout_s=SLICE_REQUEST_TIMEOUT_S
        )

    async def _send_handover(
        self, successor: VmId, handover: LimitHandover
    ) -> None:
        try:
            await self._context.transport.call(
                successor,
                handover,
                LimitHandoverAck,
                timeout_s=HANDOVER_TIMEOUT_S,
            )
        except (PeerUnreachableError, CatkinreachError):
            logger.warning(
                'limits: {} did not accept the handover of {}.',
                successor,
                handover.shard,
            )


__all__ = ('LimitTask',)
