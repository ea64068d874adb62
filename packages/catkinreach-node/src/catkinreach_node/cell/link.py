"""Entry side of one cell: asks its owner, or decides alone when cut off."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from loguru import logger

from catkinreach_core.cell.placement_request import Granted, Stage
from catkinreach_core.errors import CatkinreachError, ErrorKind
from catkinreach_core.messages.cell import (
    AttemptEnded,
    FirstTokenReceived,
    LiveReservation,
    PlaceReply,
    PlaceRequest,
    PrefillFinished,
    QuarantinedPrompt,
    RequestWithdrawn,
    ReservationRenewal,
    ReservationRenewalReply,
    SuspectedPrompt,
    WarmupProgress,
)

from ..peers.transport import PeerUnreachableError
from .convert import to_message
from .fallback import FallbackCell

if TYPE_CHECKING:
    from catkinreach_core.cell.placement_request import PlacementRequest
    from catkinreach_core.ids import RequestId, ShardId, UpstreamId, VmId
    from catkinreach_core.settings.fleet import Service

    from ..component import NodeContext
    from .cell_owner import CellOwner

RENEW_TIMEOUT_S = 0.3
CUT_S = 1.0
"""Time for which a node that lost the owner decides alone."""

COLD_ALONE_S = 4.0
"""Time without an owner after which nodes share the cold engines out."""

NO_OWNER_PATIENCE_S = 0.3
ASK_AGAIN_S = 0.02
CALL_SLACK_S = 2.0


@dataclass(slots=True)
class LiveEntry:
    """A reservation that this node holds."""

    granted: Granted
    stage: Stage = Stage.PREFILL


class CellLink:
    """What this node holds of one cell, and how it reaches the owner."""

    def __init__(
        self,
        context: NodeContext,
        owner_part: CellOwner,
        shard: ShardId,
        service: Service,
    ) -> None:
        """Starts with nothing held."""
        self._context = context
        self._owner_part = owner_part
        self._shard = shard
        self._fallback = FallbackCell(context, service)
        self._live: dict[RequestId, LiveEntry] = {}
        self._asked_for: tuple[RequestId, ...] = ()
        self._cut_until_s = 0.0
        self._ownerless_since_s = time.monotonic()
        self._lost = asyncio.Event()
        self._known_owner: VmId | None = None
        self._term = -1
        self._seen = 0
        self._must_tell_all = True
        self._warm: dict[UpstreamId, WarmupProgress] = {}
        self._quarantined: dict[str, float] = {}
        self._suspected: tuple[SuspectedPrompt, ...] = ()
        self.placed_alone = 0

    @property
    def live_count(self) -> int:
        """Returns the number of reservations held."""
        return len(self._live)

    @property
    def is_cut(self) -> bool:
        """Tells whether this node decides alone for now."""
        return self._reachable_owner() is None

    async def place(
        self, ask: PlacementRequest, accepted_at_s: float
    ) -> Granted:
        """Returns the places of a request once it has its turn.

        Raises:
            CatkinreachError: a refusal before this attempt ran.
        """
        if self._quarantined.get(ask.digest, 0.0) > time.monotonic():
            raise CatkinreachError(ErrorKind.REQUEST_QUARANTINED)
        granted = await self._place(ask, accepted_at_s)
        self._live[ask.request_id] = LiveEntry(granted)
        return granted

    def prefilled(self, granted: Granted, cached_tokens: int) -> None:
        """Reports the end of a prefill."""
        entry = self._live.get(granted.request.request_id)
        if entry is not None:
            entry.stage = Stage.DECODE
        self._report(
            PrefillFinished(
                shard=self._shard,
                request_id=granted.request.request_id,
                attempt=granted.request.attempt,
                cached_tokens=cached_tokens,
            )
        )

    def started(self, granted: Granted) -> None:
        """Reports the first token of an attempt."""
        self._report(
            FirstTokenReceived(
                shard=self._shard,
                request_id=granted.request.request_id,
                attempt=granted.request.attempt,
            )
        )

    def ended(self, message: AttemptEnded) -> None:
        """Reports the end of an attempt."""
        self._live.pop(message.request_id, None)
        self._report(message)

    def ending_of(self, granted: Granted, **fields: object) -> AttemptEnded:
        """Returns the report of an attempt's end."""
        return AttemptEnded(
            shard=self._shard,
            request_id=granted.request.request_id,
            attempt=granted.request.attempt,
            **fields,  # type: ignore[arg-type]
        )

    async def renew(self) -> None:
        """Tells the owner what this node holds; learns what all keep."""
        owner = self._context.ownership.owner_of(self._shard)
        if owner is None:
            return
        if owner != self._known_owner:
            self._known_owner = owner
            self._must_tell_all = True
        try:
            reply = await self._call_renew(owner)
        except PeerUnreachableError:
            self._cut(owner)
            return
        except CatkinreachError:
            return
        self._cut_until_s = 0.0
        self._ownerless_since_s = time.monotonic()
        self._lost.clear()
        self._take(reply)
        if reply.unknown:
            self._asked_for = reply.unknown
            await self._call_again(owner)

    def tick(self) -> None:
        """Keeps the fallback in line with what is known."""
        self._fallback.tick()

    async def _place(
        self, ask: PlacementRequest, accepted_at_s: float
    ) -> Granted:
        refused_since_s: float | None = None
        max_age_s = self._context.state.settings.queue.max_age_s
        give_up_s = time.monotonic() + max_age_s + CALL_SLACK_S
        while (now_s := time.monotonic()) <= give_up_s:
            current = replace(ask, age_s=now_s - accepted_at_s)
            owner = self._reachable_owner()
            if owner is None and self._can_place_alone():
                return await self._place_alone(current)
            if owner is None:
                await self._wait_for_owner(accepted_at_s)
                accepted_at_s = time.monotonic()
                continue
            try:
                return await self._ask_owner(owner, current)
            except PeerUnreachableError:
                self._cut(owner)
            except CatkinreachError as error:
                if error.kind is not ErrorKind.NO_OWNER:
                    raise
                refused_since_s = refused_since_s or now_s
                if now_s - refused_since_s > NO_OWNER_PATIENCE_S:
                    self._cut(owner)
            await asyncio.sleep(ASK_AGAIN_S)
        raise CatkinreachError(ErrorKind.NO_OWNER)

    async def _ask_owner(self, owner: VmId, ask: PlacementRequest) -> Granted:
        if owner == self._context.settings.vm_id:
            return await self._owner_part.place(self._shard, ask)
        max_age_s = self._context.state.settings.queue.max_age_s
        call = asyncio.ensure_future(
            self._context.transport.call(
                owner,
                PlaceRequest(shard=self._shard, ask=to_message(ask)),
                PlaceReply,
                timeout_s=max_age_s + CALL_SLACK_S,
            )
        )
        lost = asyncio.ensure_future(self._lost.wait())
        try:
            await asyncio.wait(
                {call, lost}, return_when=asyncio.FIRST_COMPLETED
            )
            if not call.done():
                raise PeerUnreachableError(owner)
            placed = call.result()
        except asyncio.CancelledError:
            self._withdraw(owner, ask)
            raise
        finally:
            call.cancel()
            lost.cancel()
        return Granted(ask, placed.prefill, placed.decode, placed.is_alone)

    async def _wait_for_owner(self, accepted_at_s: float) -> None:
        """Waits while no engine is known to be warm, as in a new fleet.

        Raises:
            CatkinreachError: ``NO_OWNER`` after the queue's longest wait.
        """
        max_age_s = self._context.state.settings.queue.max_age_s
        end_s = accepted_at_s + max_age_s
        while self._reachable_owner() is None and not self._can_place_alone():
            if time.monotonic() > end_s:
                raise CatkinreachError(ErrorKind.NO_OWNER)
            await asyncio.sleep(ASK_AGAIN_S)

    def _can_place_alone(self) -> bool:
        ownerless_s = time.monotonic() - self._ownerless_since_s
        return self._fallback.can_serve(
            self._warm.values(), may_use_cold=ownerless_s > COLD_ALONE_S
        )

    async def _place_alone(self, ask: PlacementRequest) -> Granted:
        self.placed_alone += 1
        held = [(entry.granted, entry.stage) for entry in self._live.values()]
        return await self._fallback.place(ask, held)

    def _withdraw(self, owner: VmId, ask: PlacementRequest) -> None:
        self._context.transport.send(
            owner,
            RequestWithdrawn(shard=self._shard, request_id=ask.request_id),
        )

    def _report(
        self, message: PrefillFinished | FirstTokenReceived | AttemptEnded
    ) -> None:
        self._fallback.take(message)
        owner = self._context.ownership.owner_of(self._shard)
        if owner == self._context.settings.vm_id:
            self._owner_part.take(message)
        elif owner is not None:
            self._context.transport.send(owner, message)

    def _reachable_owner(self) -> VmId | None:
        if time.monotonic() < self._cut_until_s:
            return None
        return self._context.ownership.owner_of(self._shard)

    def _cut(self, owner: VmId) -> None:
        if not self._lost.is_set():
            logger.warning('cell: {} lost its owner {}.', self._shard, owner)
        self._cut_until_s = time.monotonic() + CUT_S
        self._lost.set()

    async def _call_renew(self, owner: VmId) -> ReservationRenewalReply:
        message = self._renewal()
        if owner == self._context.settings.vm_id:
            return self._owner_part.renew(owner, message)
        return await self._context.transport.call(
            owner, message, ReservationRenewalReply, timeout_s=RENEW_TIMEOUT_S
        )

    async def _call_again(self, owner: VmId) -> None:
        try:
            self._take(await self._call_renew(owner))
        except (PeerUnreachableError, CatkinreachError):
            return
        finally:
            self._asked_for = ()

    def _renewal(self) -> ReservationRenewal:
        now_s = time.monotonic()
        told = tuple(
            LiveReservation(
                ask=to_message(entry.granted.request),
                prefill=entry.granted.prefill,
                decode=entry.granted.decode,
                stage=entry.stage.value,
            )
            for request_id in self._asked_for
            if (entry := self._live.get(request_id)) is not None
        )
        if not self._must_tell_all:
            return self._short_renewal(told)
        return ReservationRenewal(
            shard=self._shard,
            incarnation=self._context.incarnation,
            seen=self._seen,
            live=tuple(self._live),
            told=told,
            warm=tuple(self._warm.values()),
            quarantined=tuple(
                QuarantinedPrompt(digest=digest, left_s=until_s - now_s)
                for digest, until_s in self._quarantined.items()
                if until_s > now_s
            ),
            suspected=self._suspected,
        )

    def _short_renewal(
        self, told: tuple[LiveReservation, ...]
    ) -> ReservationRenewal:
        return ReservationRenewal(
            shard=self._shard,
            incarnation=self._context.incarnation,
            seen=self._seen,
            live=tuple(self._live),
            told=told,
        )

    def _take(self, reply: ReservationRenewalReply) -> None:
        now_s = time.monotonic()
        self._must_tell_all = reply.term != self._term
        if reply.term != self._term:
            had_seen = self._seen
            self._term, self._seen = reply.term, 0
            if had_seen:
                return
        if reply.version == self._seen:
            return
        self._seen = reply.version
        self._warm = {one.upstream_id: one for one in reply.warm}
        self._suspected = reply.suspected
        for prompt in reply.quarantined:
            self._quarantined[prompt.digest] = now_s + prompt.left_s
        for digest, until_s in tuple(self._quarantined.items()):
            if until_s <= now_s:
                del self._quarantined[digest]


__all__ = ('CellLink',)
