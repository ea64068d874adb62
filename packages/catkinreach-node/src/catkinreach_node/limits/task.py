"""Carries slices between this node's limiters and the owners' lease tables."""

from __future__ import annotations

import asyncio
import itertools
import math
import time
from typing import TYPE_CHECKING, Final

from loguru import logger

from catkinreach_core.errors import CatkinreachError, ErrorKind
from catkinreach_core.limits.limiter import Cost, WorkspaceLimiter
from catkinreach_core.limits.parameters import WorkspaceLimits
from catkinreach_core.messages.limits import (
    LimitHandover,
    LimitHandoverKept,
    SliceAsk,
    SliceGrant,
)
from catkinreach_core.ownership.shards import limit_shard

from ..peers.transport import PeerUnreachableError
from ..session.seams import UnlimitedGrant
from .service import LimitService

if TYPE_CHECKING:
    from collections.abc import Mapping

    from catkinreach_core.ids import VmId, WorkspaceId

    from ..parts import NodeContext
    from ..session.context import SessionContext
    from ..session.seams import LimitGrant
    from .admissions import AdmissionSink

TICK_S: Final = 0.05
ASK_TIMEOUT_S: Final = 0.3
HANDOVER_TIMEOUT_S: Final = 1.0
READY_LIMIT_S: Final = 10.0
"""Time after which a node takes requests although owners are missing."""


class SliceGrantHandle:
    """Admission of one request; settles its tokens once."""

    def __init__(
        self, limiter: WorkspaceLimiter, number: int, reserved_tokens: int
    ) -> None:
        """Keeps what was reserved."""
        self._limiter = limiter
        self._number = number
        self._reserved_tokens = reserved_tokens

    def settle(self, used_tokens: int) -> None:
        """Gives back the tokens that were not used."""
        unused = self._reserved_tokens - used_tokens
        self._limiter.settle(self._number, unused, time.monotonic())


class LimitTask:
    """Limits of all workspaces as one node sees and keeps them."""

    def __init__(self, context: NodeContext, sink: AdmissionSink) -> None:
        """Registers the messages; ``run`` is the task."""
        self._context = context
        self._sink = sink
        self._service = LimitService(context)
        self._limiters: dict[WorkspaceId, WorkspaceLimiter] = {}
        self._futures: dict[int, asyncio.Future[None]] = {}
        self._numbers = itertools.count(1)
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_ready = False
        self._probing_from_s = math.inf
        self._counts = {'admitted': 0, 'refused': 0, 'asks': 0}
        context.transport.on_call(SliceAsk, self._service.respond)
        context.transport.on_call(LimitHandover, self._service.keep)
        context.state.on_change(self._take_settings)

    @property
    def name(self) -> str:
        """Returns the key of the part in the status document."""
        return 'limits'

    @property
    def is_ready(self) -> bool:
        """Tells whether the node's votes count and every owner has lent.

        A roll that waits for this takes no voter away before this one knows
        the owners of now.

        A node that has waited long for owners counts as ready too.
        Once true it stays so: a lost owner is no reason to take nodes out.
        """
        return self._is_ready

    async def admit(self, session: SessionContext, tokens: int) -> LimitGrant:
        """Admits one request of up to that many tokens.

        Raises:
            CatkinreachError: ``RATE_LIMITED``, or ``NO_OWNER`` if no owner
                could be asked in time.
        """
        workspace_id = session.workspace_id
        if workspace_id is None:
            return UnlimitedGrant()
        limiter = self._limiter(workspace_id)
        number = next(self._numbers)
        cost = Cost(1.0, float(tokens))
        if limiter.try_admit(number, cost, time.monotonic()):
            self._pump(limiter)
        else:
            await self._wait(limiter, number, cost)
        self._counts['admitted'] += 1
        self._sink.note(workspace_id, tokens)
        return SliceGrantHandle(limiter, number, tokens)

    async def run(self) -> None:
        """Renews and returns slices until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            self._probe_owners()
            for limiter in tuple(self._limiters.values()):
                self._pump(limiter)

    async def hand_over(self) -> None:
        """Gives the lease tables to the nodes that own the shards next."""
        handovers = self._service.close(time.monotonic())
        async with asyncio.TaskGroup() as group:
            for handover in handovers:
                vm_id = self._context.tenures.successor_of(handover.shard)
                if vm_id is not None:
                    group.create_task(self._give(vm_id, handover))

    def status(self) -> Mapping[str, object]:
        """Returns slices at hand by workspace and the owned accounts."""
        now_s = time.monotonic()
        return {
            **self._counts,
            'owned_shards': self._service.lease_table_count,
            'workspaces': {
                workspace_id: {
                    'waiting': limiter.waiting_count,
                    'requests_at_hand': round(limiter.free(now_s)[0], 3),
                    'tokens_at_hand': round(limiter.free(now_s)[1], 3),
                }
                for workspace_id, limiter in self._limiters.items()
            },
        }

    def _probe_owners(self) -> None:
        """Asks each shard's owner once before the node is ready."""
        if self._is_ready or not self._context.state.has_settings:
            return
        self._probing_from_s = min(self._probing_from_s, time.monotonic())
        by_shard = {
            limit_shard(workspace_id): workspace_id
            for workspace_id in self._context.state.settings.workspaces
        }
        limiters = [self._limiter(one) for one in by_shard.values()]
        for limiter in limiters:
            limiter.probe()
        waited_s = time.monotonic() - self._probing_from_s
        remembers_terms = self._context.tenures.remembers_terms
        is_probed = remembers_terms and all(
            limiter.is_probed for limiter in limiters
        )
        self._is_ready = is_probed or waited_s > READY_LIMIT_S

    async def _wait(
        self, limiter: WorkspaceLimiter, number: int, cost: Cost
    ) -> None:
        future = asyncio.get_running_loop().create_future()
        self._futures[number] = future
        try:
            limiter.enqueue(number, cost, time.monotonic())
            self._pump(limiter)
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

    def _take_settings(self) -> None:
        if not self._context.state.has_settings:
            return
        workspaces = self._context.state.settings.workspaces
        for workspace_id, limiter in tuple(self._limiters.items()):
            if workspace_id in workspaces:
                limiter.limits = WorkspaceLimits.from_workspace(
                    workspaces[workspace_id]
                )
            elif not limiter.waiting_count:
                del self._limiters[workspace_id]

    def _pump(self, limiter: WorkspaceLimiter) -> None:
        for verdict in limiter.resolve_queued(time.monotonic()):
            future = self._futures.get(verdict.number)
            if future is None or future.done():
                continue
            if verdict.refusal is None:
                future.set_result(None)
            else:
                future.set_exception(verdict.refusal)
        ask = limiter.next_slice_request(time.monotonic())
        if ask is not None:
            self._counts['asks'] += 1
            task = asyncio.create_task(self._exchange(limiter, ask))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _exchange(self, limiter: WorkspaceLimiter, ask: SliceAsk) -> None:
        try:
            grant = await self._ask_owner(ask)
        except (PeerUnreachableError, CatkinreachError):
            limiter.on_failure(ask.sequence, time.monotonic())
        else:
            limiter.on_grant(grant, time.monotonic())
        self._pump(limiter)

    async def _ask_owner(self, ask: SliceAsk) -> SliceGrant:
        owner = self._context.ownership.owner_of(limit_shard(ask.workspace_id))
        if owner is None:
            raise CatkinreachError(ErrorKind.NO_OWNER)
        if owner == self._context.settings.vm_id:
            return await self._service.respond(owner, ask)
        return await self._context.transport.call(
            owner, ask, SliceGrant, timeout_s=ASK_TIMEOUT_S
        )

    async def _give(self, vm_id: VmId, handover: LimitHandover) -> None:
        try:
            await self._context.transport.call(
                vm_id,
                handover,
                LimitHandoverKept,
                timeout_s=HANDOVER_TIMEOUT_S,
            )
        except (PeerUnreachableError, CatkinreachError):
            logger.warning('limits: {} did not take {}.', vm_id, handover.shard)


__all__ = ('LimitTask',)
