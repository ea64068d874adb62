"""Link of an entry node to the owner of one cell.

The owner places the node's requests. While no owner is reachable, the node
places them locally, on its share of the engines last reported as warm.
"""

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
    SuspectedBlock,
    SuspectedPrompt,
    WarmupProgress,
)

from ..peers.transport import PeerUnreachableError
from .fallback import FallbackCell
from .message_conversion import to_placement_details

if TYPE_CHECKING:
    from catkinreach_core.cell.placement_request import PlacementRequest
    from catkinreach_core.ids import RequestId, ShardId, UpstreamId, VmId
    from catkinreach_core.settings.fleet import Service

    from ..component import NodeContext
    from .cell_owner import CellOwner

RENEW_TIMEOUT_S = 0.3
OWNER_UNREACHABLE_S = 1.0
"""Time for which an owner counts as unreachable after a failed call.

The node places requests locally during this time.
"""

COLD_ENGINES_AFTER_S = 4.0
"""Time without an owner after which nodes also use cold engines.

Each cold engine is then shared between a few nodes; see ``FallbackCell``.
"""

NO_OWNER_TIMEOUT_S = 0.3
"""Time for which a VM may answer ``NO_OWNER`` before it counts as lost."""

RETRY_INTERVAL_S = 0.02
CALL_SLACK_S = 2.0
"""Time that a placement call may take beyond the longest time in a queue."""


@dataclass(slots=True)
class HeldReservation:
    """A reservation of this node and the stage that it has reached."""

    granted: Granted
    stage: Stage = Stage.PREFILL


class OwnerLink:
    """Requests placement from a cell's owner and reports on reservations.

    It renews the node's reservations with the owner. The replies bring the
    cell's warm engines and its quarantined and suspected prompts, which the
    node passes on to the next owner.
    """

    def __init__(
        self,
        context: NodeContext,
        local_owner: CellOwner,
        shard: ShardId,
        service: Service,
    ) -> None:
        """Starts without a reservation."""
        self._context = context
        self._local_owner = local_owner
        self._shard = shard
        self._fallback = FallbackCell(context, service)
        self._held: dict[RequestId, HeldReservation] = {}
        self._requested_details: tuple[RequestId, ...] = ()
        self._unreachable_until_s = 0.0
        self._without_owner_since_s = time.monotonic()
        self._owner_lost = asyncio.Event()
        self._known_owner: VmId | None = None
        self._term = -1
        self._seen_version = 0
        self._needs_full_renewal = True
        self._warm_engines: dict[UpstreamId, WarmupProgress] = {}
        self._quarantined: dict[str, float] = {}
        self._suspected: tuple[SuspectedPrompt, ...] = ()
        self._suspected_blocks: tuple[SuspectedBlock, ...] = ()
        self.placed_locally = 0

    @property
    def held_count(self) -> int:
        """Returns the number of live reservations."""
        return len(self._held)

    @property
    def is_owner_unreachable(self) -> bool:
        """Returns whether no owner is known or reachable."""
        return self._reachable_owner() is None

    async def place(
        self, request: PlacementRequest, accepted_at_s: float
    ) -> Granted:
        """Returns the engines granted to a request once it leaves the queue.

        The owner drops what an earlier attempt holds; see ``report_kept``.

        Raises:
            CatkinreachError: a refusal before this attempt ran.
        """
        if self._quarantined.get(request.digest, 0.0) > time.monotonic():
            raise CatkinreachError(ErrorKind.REQUEST_QUARANTINED)
        self._held.pop(request.request_id, None)
        granted = await self._place_with_retries(request, accepted_at_s)
        self._held[request.request_id] = HeldReservation(granted)
        return granted

    def report_prefill(self, granted: Granted, cached_tokens: int) -> None:
        """Reports the end of a prefill to the owner."""
        entry = self._held.get(granted.request.request_id)
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

    def report_first_token(self, granted: Granted) -> None:
        """Reports the first token of an attempt to the owner."""
        self._report(
            FirstTokenReceived(
                shard=self._shard,
                request_id=granted.request.request_id,
                attempt=granted.request.attempt,
            )
        )

    def report_kept(self, granted: Granted) -> None:
        """Holds an attempt in its decode that goes on beside a withdrawn one.

        The next renewal tells the owner.
        """
        self._held[granted.request.request_id] = HeldReservation(
            granted, Stage.DECODE
        )

    def report_end(self, message: AttemptEnded) -> None:
        """Reports the end of an attempt to the owner."""
        entry = self._held.get(message.request_id)
        if entry and entry.granted.request.attempt == message.attempt:
            del self._held[message.request_id]
        self._report(message)

    def make_end_report(
        self, granted: Granted, **fields: object
    ) -> AttemptEnded:
        """Returns a report of an attempt's end with the given fields."""
        return AttemptEnded(
            shard=self._shard,
            request_id=granted.request.request_id,
            attempt=granted.request.attempt,
            **fields,  # type: ignore[arg-type]
        )

    async def renew(self) -> None:
        """Renews this node's reservations; stores the state from the reply."""
        owner = self._context.ownership.owner_of(self._shard)
        if owner is None:
            return
        if owner != self._known_owner:
            self._known_owner = owner
            self._needs_full_renewal = True
        try:
            reply = await self._send_renewal(owner)
        except PeerUnreachableError:
            self._mark_owner_unreachable(owner)
            return
        except CatkinreachError:
            return
        self._unreachable_until_s = 0.0
        self._without_owner_since_s = time.monotonic()
        self._owner_lost.clear()
        self._apply_reply(reply)
        if reply.unknown:
            self._requested_details = reply.unknown
            await self._renew_with_details(owner)

    def retry_failed_engines(self) -> None:
        """Lets the fallback retry engines that failed."""
        self._fallback.retry_failed_engines()

    async def _place_with_retries(
        self, request: PlacementRequest, accepted_at_s: float
    ) -> Granted:
        no_owner_since_s: float | None = None
        max_age_s = self._context.state.settings.queue.max_age_s
        deadline_s = time.monotonic() + max_age_s + CALL_SLACK_S
        while (now_s := time.monotonic()) <= deadline_s:
            current = replace(request, age_s=now_s - accepted_at_s)
            owner = self._reachable_owner()
            if owner is None and self._can_place_locally():
                return await self._place_locally(current)
            if owner is None:
                await self._wait_for_owner(accepted_at_s)
                accepted_at_s = time.monotonic()
                continue
            try:
                return await self._request_from_owner(owner, current)
            except PeerUnreachableError:
                self._mark_owner_unreachable(owner)
            except CatkinreachError as error:
                if error.kind is not ErrorKind.NO_OWNER:
                    raise
                no_owner_since_s = no_owner_since_s or now_s
                if now_s - no_owner_since_s > NO_OWNER_TIMEOUT_S:
                    self._mark_owner_unreachable(owner)
            await asyncio.sleep(RETRY_INTERVAL_S)
        raise CatkinreachError(ErrorKind.NO_OWNER)

    async def _request_from_owner(
        self, owner: VmId, request: PlacementRequest
    ) -> Granted:
        if owner == self._context.settings.vm_id:
            return await self._local_owner.place(self._shard, request)
        max_age_s = self._context.state.settings.queue.max_age_s
        call = asyncio.ensure_future(
            self._context.transport.call(
                owner,
                PlaceRequest(
                    shard=self._shard, ask=to_placement_details(request)
                ),
                PlaceReply,
                timeout_s=max_age_s + CALL_SLACK_S,
            )
        )
        owner_lost = asyncio.ensure_future(self._owner_lost.wait())
        try:
            await asyncio.wait(
                {call, owner_lost}, return_when=asyncio.FIRST_COMPLETED
            )
            if not call.done():
                raise PeerUnreachableError(owner)
            reply = call.result()
        except asyncio.CancelledError:
            self._withdraw(owner, request)
            raise
        finally:
            call.cancel()
            owner_lost.cancel()
        return Granted(request, reply.prefill, reply.decode, reply.is_alone)

    async def _wait_for_owner(self, accepted_at_s: float) -> None:
        """Waits until an owner is reachable or the node may place locally.

        A new fleet has no warm engine, so it can't place locally at first.

        Raises:
            CatkinreachError: ``NO_OWNER`` after the queue's longest wait.
        """
        max_age_s = self._context.state.settings.queue.max_age_s
        end_s = accepted_at_s + max_age_s
        while self._reachable_owner() is None and not self._can_place_locally():
            if time.monotonic() > end_s:
                raise CatkinreachError(ErrorKind.NO_OWNER)
            await asyncio.sleep(RETRY_INTERVAL_S)

    def _can_place_locally(self) -> bool:
        without_owner_s = time.monotonic() - self._without_owner_since_s
        return self._fallback.can_serve(
            self._warm_engines.values(),
            may_use_cold=without_owner_s > COLD_ENGINES_AFTER_S,
        )

    async def _place_locally(self, request: PlacementRequest) -> Granted:
        self.placed_locally += 1
        held = [(entry.granted, entry.stage) for entry in self._held.values()]
        return await self._fallback.place(request, held)

    def _withdraw(self, owner: VmId, request: PlacementRequest) -> None:
        self._context.transport.send(
            owner,
            RequestWithdrawn(shard=self._shard, request_id=request.request_id),
        )

    def _report(
        self, message: PrefillFinished | FirstTokenReceived | AttemptEnded
    ) -> None:
        self._fallback.record_report(message)
        owner = self._context.ownership.owner_of(self._shard)
        if owner == self._context.settings.vm_id:
            self._local_owner.record_report(message)
        elif owner is not None:
            self._context.transport.send(owner, message)

    def _reachable_owner(self) -> VmId | None:
        if time.monotonic() < self._unreachable_until_s:
            return None
        return self._context.ownership.owner_of(self._shard)

    def _mark_owner_unreachable(self, owner: VmId) -> None:
        if not self._owner_lost.is_set():
            logger.warning(
                'cell: lost the owner of {}: {} is unreachable.',
                self._shard,
                owner,
            )
        self._unreachable_until_s = time.monotonic() + OWNER_UNREACHABLE_S
        self._owner_lost.set()

    async def _send_renewal(self, owner: VmId) -> ReservationRenewalReply:
        message = self._make_renewal()
        if owner == self._context.settings.vm_id:
            return self._local_owner.handle_renewal(owner, message)
        return await self._context.transport.call(
            owner, message, ReservationRenewalReply, timeout_s=RENEW_TIMEOUT_S
        )

    async def _renew_with_details(self, owner: VmId) -> None:
        try:
            self._apply_reply(await self._send_renewal(owner))
        except (PeerUnreachableError, CatkinreachError):
            return
        finally:
            self._requested_details = ()

    def _make_renewal(self) -> ReservationRenewal:
        now_s = time.monotonic()
        details = tuple(
            LiveReservation(
                ask=to_placement_details(entry.granted.request),
                prefill=entry.granted.prefill,
                decode=entry.granted.decode,
                stage=entry.stage.value,
            )
            for request_id in self._requested_details
            if (entry := self._held.get(request_id)) is not None
        )
        if not self._needs_full_renewal:
            return self._make_short_renewal(details)
        return ReservationRenewal(
            shard=self._shard,
            incarnation=self._context.incarnation,
            seen=self._seen_version,
            live=tuple(self._held),
            told=details,
            warm=tuple(self._warm_engines.values()),
            quarantined=tuple(
                QuarantinedPrompt(digest=digest, left_s=until_s - now_s)
                for digest, until_s in self._quarantined.items()
                if until_s > now_s
            ),
            suspected=self._suspected,
            suspected_blocks=self._suspected_blocks,
        )

    def _make_short_renewal(
        self, details: tuple[LiveReservation, ...]
    ) -> ReservationRenewal:
        return ReservationRenewal(
            shard=self._shard,
            incarnation=self._context.incarnation,
            seen=self._seen_version,
            live=tuple(self._held),
            told=details,
        )

    def _apply_reply(self, reply: ReservationRenewalReply) -> None:
        now_s = time.monotonic()
        self._needs_full_renewal = reply.term != self._term
        if reply.term != self._term:
            previous_version = self._seen_version
            self._term, self._seen_version = reply.term, 0
            if previous_version:
                # The reply may lack the state: the renewal sent a version of
                # an earlier tenure, which this one may have reached too.
                return
        if reply.version == self._seen_version:
            return
        self._seen_version = reply.version
        self._warm_engines = {
            engine.upstream_id: engine for engine in reply.warm
        }
        self._suspected = reply.suspected
        self._suspected_blocks = reply.suspected_blocks
        for prompt in reply.quarantined:
            self._quarantined[prompt.digest] = now_s + prompt.left_s
        for digest, until_s in tuple(self._quarantined.items()):
            if until_s <= now_s:
                del self._quarantined[digest]


__all__ = ('OwnerLink',)
