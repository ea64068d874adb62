"""Streams: prefill, decode, and the way on when an engine is lost."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from catkinreach_core.gateway.placement import StreamNeed, is_overbooked

from ..http.client import ConnectError, ExchangeError
from ..http.messages import HttpResponse
from .call import Attempts, SendFailure
from .decision_log import Event
from .engine_run import EngineRun
from .event_relay import EventRelay
from .prompt_reader import PromptReader
from .room_wait import MIN_LEFT_S, RoomWait
from .stream_context import StreamContext
from .stream_planner import StreamPlanner

if TYPE_CHECKING:
    from catkinreach_core.gateway.catalog import EngineTraits
    from catkinreach_core.gateway.placement import StreamPlan

    from .call import Call
    from .node import Node

FIRST_EVENT_SLACK_S = 0.3
FIRST_EVENT_SLACK_FACTOR = 3.0
"""A first event may take its prediction times this, plus the slack."""

DEFAULT_PROMPT_TOKENS = 1000


class StreamFlow:
    """Opens one stream and keeps it going."""

    def __init__(self, node: Node, call: Call, traits: EngineTraits) -> None:
        """Prepares the call."""
        self._node = node
        self._call = call
        self._attempts = Attempts(node, call)
        prompt = call.terms.prompt_tokens
        if prompt is None:
            prompt = DEFAULT_PROMPT_TOKENS
        self._need = StreamNeed(
            prompt_tokens=prompt,
            memory_tokens=node.outputs.memory_tokens(
                prompt, call.terms.output_tokens
            ),
        )
        self._traits = traits
        context = StreamContext(node, call, self._attempts, self._need, traits)
        self._reader = PromptReader(context)
        self._room = RoomWait(context, StreamPlanner(context, self._reader))

    async def run(self) -> HttpResponse:
        """Returns the answer once its first event is there.

        Raises:
            CatkinreachError: if it can't be served.
        """
        try:
            run = await self._open(self._call.terms.resume_after)
        finally:
            self._reader.free()
        reply = run.reply
        headers = self._node.dialect.caller_headers(reply.headers)
        if not reply.is_success:
            return HttpResponse(reply.status, headers, await run.read_failure())
        relay = EventRelay(self._node, self._call, self, run)
        return HttpResponse(reply.status, headers, stream=relay)

    @property
    def can_resume(self) -> bool:
        """Tells whether the stream may go on at another engine."""
        return self._call.route.may_repeat and self._attempts.is_repeatable

    async def resume(self, last_id: int | None) -> EngineRun | None:
        """Opens the stream again after an event; ``None`` if it may not be."""
        if not self.can_resume:
            return None
        self._room.note_resuming()
        run = await self._open(last_id)
        if run.reply.is_success:
            return run
        run.close()
        return None

    def lost(self, run: EngineRun, reason: str) -> None:
        """Notes that an engine broke off or fell silent."""
        run.close()
        upstream = run.reply.upstream
        self._attempts.may_have_failed(
            upstream, SendFailure.BROKEN, detail=reason
        )
        self._node.checks.check_reachable(upstream)

    async def _open(self, resume_after: int | None) -> EngineRun:
        while self._attempts.left_s > MIN_LEFT_S:
            plan = await self._room.until_placed()
            run = EngineRun(
                self._node,
                self._call,
                plan.decode.upstream,
                self._need,
                reads_prompt=plan.prefill is None,
            )
            if await self._start(plan, run, resume_after):
                return run
        raise self._attempts.error()

    async def _start(
        self, plan: StreamPlan, run: EngineRun, resume_after: int | None
    ) -> bool:
        """Has the prompt read, if planned, and the stream begun."""
        is_open = False
        prefill = plan.prefill
        try:
            if prefill is not None and not await self._reader.read(
                prefill.upstream, plan.first_token_s
            ):
                return False
            if self._gives_way(plan):
                return False
            if not self._attempts.may_send():
                raise self._attempts.error()
            run.source = self._reader.handle
            is_open = await self._decode(plan, run, resume_after)
        finally:
            if not is_open:
                run.close()
        return is_open

    def _gives_way(self, plan: StreamPlan) -> bool:
        """Leaves an engine that others have filled while the prompt was read.

        The prompt's handle is kept and goes to another engine.
        """
        upstream_id = plan.decode.upstream.upstream_id
        load = self._node.loads.total(upstream_id, self._node.clock())
        if plan.prefill is None or not is_overbooked(load, self._traits):
            return False
        self._node.log.write(
            Event.GAVE_WAY,
            request=self._call.terms.request_id,
            upstream=upstream_id,
            memory_tokens=load.memory_tokens,
            running=load.running,
        )
        self._room.note_read()
        return True

    async def _decode(
        self, plan: StreamPlan, run: EngineRun, resume_after: int | None
    ) -> bool:
        upstream = plan.decode.upstream
        self._log_placed(plan, resume_after)
        self._attempts.note_sent()
        self._node.cold.spend(upstream.upstream_id)
        wait_s = FIRST_EVENT_SLACK_S
        wait_s += plan.first_token_s * FIRST_EVENT_SLACK_FACTOR
        try:
            async with asyncio.timeout(self._patience_s(wait_s)):
                await run.open(resume_after)
            return await self._accepts(run)
        except ConnectError as error:
            self._attempts.unreachable(upstream, error)
        except ExchangeError as error:
            self._reader.note_taken()
            self._attempts.broken(upstream, error)
        except TimeoutError:
            self._reader.note_taken()
            self._attempts.silent(upstream, waited_s=wait_s)
        return False

    async def _accepts(self, run: EngineRun) -> bool:
        reply = run.reply
        if reply.marks.has_not_run:
            await run.read_failure()
            if not reply.marks.is_misdirected:
                self._reader.note_refused()
            load = self._node.loads.total(
                reply.upstream.upstream_id, self._node.clock()
            )
            self._attempts.refused(
                reply, running=load.running, memory_tokens=load.memory_tokens
            )
            return False
        self._reader.note_taken()
        if not reply.marks.is_sealed:
            raise ExchangeError('reply without the mark of its upstream')
        return True

    def _patience_s(self, wait_s: float) -> float:
        """Returns how long to wait before another engine is tried."""
        left_s = self._attempts.left_s
        return min(left_s, wait_s) if self.can_resume else left_s

    def _log_placed(self, plan: StreamPlan, resume_after: int | None) -> None:
        prefill = plan.prefill
        self._node.log.write(
            Event.PLACED,
            request=self._call.terms.request_id,
            workspace=self._call.workspace_id,
            version=self._call.version,
            decode=plan.decode.upstream.upstream_id,
            prefill=prefill and prefill.upstream.upstream_id,
            prompt_tokens=self._need.prompt_tokens,
            output_tokens=self._call.terms.output_tokens,
            first_token_s=round(plan.first_token_s, 4),
            elapsed_s=round(self._node.clock() - self._call.arrived_s, 4),
            waited_s=round(self._room.waited_s, 4),
            members=self._node.members.count,
            silent=self._node.members.silent(self._node.clock()),
            resume_after=resume_after,
        )


__all__ = ('StreamFlow',)
