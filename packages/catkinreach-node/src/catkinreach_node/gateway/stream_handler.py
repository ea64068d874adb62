"""Serves streams: prefill, decode, and resumption when an engine is lost."""

from __future__ import annotations

from typing import TYPE_CHECKING

from catkinreach_core.gateway.event_numbering import EventNumbering
from catkinreach_core.gateway.placement import is_overbooked

from ..http.connection import ConnectError, ExchangeError
from ..http.messages import HttpResponse
from .attempts import Attempts
from .decision_log import Event
from .engine_stream import EngineStream
from .event_relay import EventRelay
from .memory_wait import MIN_REMAINING_S, MemoryWait
from .reply_wait import ReplyWait
from .send_failure import SendFailure
from .silent_replacement import SilentReplacement
from .stream_context import StreamContext
from .stream_log import StreamLog
from .stream_planner import StreamPlanner
from .stream_prefill import StreamPrefill
from .stream_replies import StreamReplies
from .suspect_keys import refuse_if_quarantined

if TYPE_CHECKING:
    from catkinreach_core.gateway.catalog import EngineTraits
    from catkinreach_core.gateway.placement import StreamPlan
    from catkinreach_core.gateway.upstream import Upstream

    from .admitted_request import AdmittedRequest
    from .handover import Handover
    from .node import Node

FIRST_EVENT_SLACK_S = 0.3
FIRST_EVENT_SLACK_FACTOR = 3.0
"""Factor on the predicted time to the first event; with the slack added, it is
the time after which another engine may get the stream."""


class StreamHandler:
    """Opens one stream and resumes it when its engine is lost."""

    def __init__(
        self, node: Node, admitted: AdmittedRequest, traits: EngineTraits
    ) -> None:
        """Prepares the request; nothing is sent yet."""
        self._node = node
        self._admitted = admitted
        self._attempts = Attempts(node, admitted)
        self._replacement = SilentReplacement(node, self._attempts)
        self._has_begun = False
        self._traits = traits
        self._numbering = EventNumbering(admitted.metadata.resume_after)
        context = StreamContext.for_request(
            node, admitted, self._attempts, traits
        )
        self._context = context
        self._prefill = StreamPrefill(context)
        self._replies = StreamReplies(context, self._prefill)
        self._log = StreamLog(context)
        self._memory_wait = MemoryWait(
            context, StreamPlanner(context, self._prefill)
        )

    async def run(self) -> HttpResponse:
        """Returns the response once its first event has arrived.

        Raises:
            CatkinreachError: if it can't be served.
        """
        if self._admitted.metadata.is_resumption:
            await self._node.stream_versions.pin(self._context)
        engine_stream = await self._open_first()
        if self._replies.whole_response is not None:
            return self._replies.whole_response
        self._has_begun = True
        self._node.stream_versions.record(
            self._context, engine_stream.upstream.software_version
        )
        reply = engine_stream.reply
        headers = self._node.dialect.caller_headers(reply.headers)
        relay = EventRelay(
            self._node, self._admitted, self, engine_stream, self._numbering
        )
        return HttpResponse(reply.status, headers, stream=relay)

    @property
    def may_run(self) -> bool:
        """Returns whether the request may have run, or still may."""
        return self._attempts.has_sent

    @property
    def can_replace(self) -> bool:
        """Returns whether another engine may replace a silent one."""
        return self._admitted.route.is_retryable and self._attempts.can_replace

    async def resume(
        self,
        last_id: int | None,
        handover: Handover[EngineStream] | None = None,
    ) -> EngineStream | None:
        """Reopens the stream after an event; ``None`` if that isn't allowed.

        Args:
            last_id: Last event that the caller has.
            handover: Handover from a silent engine; ``None`` if the engine is
                lost.
        """
        await self._attempts.finish_crash_check()
        if not self._can_resume(handover):
            return None
        if handover is not None:
            self._attempts.set_aside(handover.silent_upstream)
            self._node.checks.check_silent(handover.silent_upstream)
        if self._has_begun:
            self._memory_wait.restart_timeout()
        with self._replacement.by(handover):
            engine_stream = await self._open_stream(last_id)
        if handover is not None:
            handover.give_up()
        return engine_stream

    def _can_resume(self, handover: Handover[EngineStream] | None) -> bool:
        if handover is not None:
            return self.can_replace
        return self._admitted.route.is_retryable and self._attempts.can_retry

    def may_return(self, engine_stream: EngineStream) -> bool:
        """Returns whether a silent engine may get the request anew."""
        return self._memory_wait.is_queue_empty and (
            self._attempts.try_reserve_return(engine_stream.upstream)
        )

    def record_lost(
        self, engine_stream: EngineStream, failure: SendFailure, detail: str
    ) -> None:
        """Records that an engine disconnected or sends no events."""
        engine_stream.close()
        self._attempts.record_lost(
            engine_stream.upstream,
            failure,
            detail,
            has_started=engine_stream.has_started,
        )

    async def _open_first(self) -> EngineStream:
        """Opens the stream; whatever ends that ends the request's trial."""
        is_open = False
        try:
            engine_stream = await self._open_stream(
                self._admitted.metadata.resume_after
            )
            is_open = True
        finally:
            self._attempts.release_retries()
            if not is_open:
                self._end_trial()
        return engine_stream

    def _end_trial(self) -> None:
        self._node.crash_suspects.end_trial(self._admitted.suspect_keys)

    async def _open_stream(self, resume_after: int | None) -> EngineStream:
        try:
            return await self._try_engines(resume_after)
        finally:
            self._prefill.release()

    async def _try_engines(self, resume_after: int | None) -> EngineStream:
        while self._attempts.remaining_s > MIN_REMAINING_S:
            plan = await self._memory_wait.wait_for_plan()
            # Others plan during the prefill, and would count on it too.
            self._node.limits.spend(plan.decode.upstream.upstream_id)
            engine_stream = EngineStream(
                self._node,
                self._admitted,
                plan.decode.upstream,
                self._context.need,
                self._numbering,
                prefills_prompt=plan.prefill is None,
            )
            opened = await self._start_stream(plan, engine_stream, resume_after)
            if opened is not None:
                return opened
        raise self._attempts.error()

    async def _start_stream(
        self,
        plan: StreamPlan,
        engine_stream: EngineStream,
        resume_after: int | None,
    ) -> EngineStream | None:
        """Runs the planned prefill, if any, and opens the stream.

        Returns:
            The stream at this engine, or at one that went on for it.

        Raises:
            CatkinreachError: if it may not be sent.
        """
        opened = None
        prefill = plan.prefill
        try:
            refuse_if_quarantined(self._node, self._admitted.suspect_keys)
            if prefill is not None and not await self._prefill.run(
                prefill.upstream, plan.first_token_s
            ):
                return None
            if self._filled_up_during_prefill(plan):
                return None
            await self._attempts.finish_crash_check()
            if not self._replacement.try_acquire_send():
                raise self._attempts.error()
            engine_stream.source = self._prefill.handle
            opened = await self._decode_stream(
                plan, engine_stream, resume_after
            )
        finally:
            if opened is not engine_stream:
                engine_stream.close()
            if opened is None and not self._replacement.is_running:
                self._end_trial()
        return opened

    def _filled_up_during_prefill(self, plan: StreamPlan) -> bool:
        """Returns whether the decode engine filled up during the prefill.

        The KV handle is kept and used at another engine.
        """
        upstream_id = plan.decode.upstream.upstream_id
        load = self._node.loads.total_load(upstream_id, self._node.clock())
        if plan.prefill is None or not is_overbooked(load, self._traits):
            return False
        self._node.log.write(
            Event.GAVE_WAY,
            request=self._admitted.metadata.request_id,
            upstream=upstream_id,
            memory_tokens=load.memory_tokens,
            running=load.running,
        )
        self._memory_wait.mark_prefilled()
        return True

    async def _decode_stream(
        self,
        plan: StreamPlan,
        engine_stream: EngineStream,
        resume_after: int | None,
    ) -> EngineStream | None:
        upstream = plan.decode.upstream
        self._log.write_placed(plan, resume_after, self._memory_wait.waited_s)
        self._attempts.count_send()
        self._node.cold_rate_limiter.spend(upstream.upstream_id)
        with self._replacement.overlap(
            lambda: self._withdraw(engine_stream)
        ) as begin_overlap:
            reply_wait = ReplyWait(
                self,
                engine_stream,
                engine_stream.start(resume_after, begin_overlap),
                resume_after,
            )
            try:
                return await self._take_first_reply(
                    plan, engine_stream, reply_wait
                )
            finally:
                reply_wait.close()

    def _withdraw(self, engine_stream: EngineStream) -> None:
        """Closes a replacement that has no reply yet."""
        if engine_stream.withdraw():
            # It may have imported the KV cache.
            self._prefill.forget_handle()

    async def _take_first_reply(
        self,
        plan: StreamPlan,
        engine_stream: EngineStream,
        reply_wait: ReplyWait[EngineStream],
    ) -> EngineStream | None:
        """Returns the first stream of this engine and one that replaces it."""
        upstream = plan.decode.upstream
        sent_s = self._node.clock()
        wait_s = FIRST_EVENT_SLACK_S
        wait_s += plan.first_token_s * FIRST_EVENT_SLACK_FACTOR
        try:
            first = await reply_wait.first_reply(
                self._attempts.remaining_s,
                wait_s,
                lambda: self._may_replace(upstream),
            )
            if first is not engine_stream:
                return first
            if self._replies.accept(
                engine_stream,
                has_begun=self._has_begun,
                replaces_silent=self._replacement.is_running,
            ):
                if reply_wait.is_replacing:
                    self._log.write_kept(upstream)
                return engine_stream
        except ConnectError as error:
            self._attempts.record_unreachable(upstream, error)
        except ExchangeError as error:
            self._prefill.forget_handle()
            self.record_lost(engine_stream, SendFailure.BROKEN, str(error))
        except TimeoutError:
            self._prefill.forget_handle()
            waited_s = round(self._node.clock() - sent_s, 4)
            self._attempts.record_timeout(upstream, waited_s=waited_s)
            return None
        reply_wait.note_failed()
        await self._attempts.finish_crash_check()
        return await reply_wait.other_send()

    def _may_replace(self, upstream: Upstream) -> bool:
        """Checks a silent engine; returns whether another one can go on."""
        self._node.checks.check_silent(upstream)
        may_replace = (
            self.can_replace
            and self._memory_wait.can_place_elsewhere(upstream.upstream_id)
            and self._attempts.try_hold_retries()
        )
        if may_replace:
            # The silent engine may have imported the KV cache.
            self._prefill.forget_handle()
        return may_replace


__all__ = ('StreamHandler',)
