"""Streams: prefill, decode, and the way on when an engine is lost."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

from catkinreach_core.errors import ErrorKind
from catkinreach_core.gateway.placement import (
    StreamNeed,
    plan_stream,
    read_alone_s,
)
from catkinreach_core.gateway.stage_plan import RESIDENCE_S
from catkinreach_core.gateway.wait_line import Ticket, Verdict, next_look_s

from ..http.client import ConnectError, ExchangeError
from ..http.messages import HttpResponse
from .call import Attempts, SendFailure
from .decision_log import Event
from .engine_run import EngineRun
from .event_relay import EventRelay
from .gateway_metrics import Stage
from .prompt_reader import PromptReader

if TYPE_CHECKING:
    from catkinreach_core.gateway.catalog import EngineTraits
    from catkinreach_core.gateway.placement import Choice, StreamPlan
    from catkinreach_core.gateway.upstream import Upstream
    from catkinreach_core.gateway.wait_line import WaitLine

    from .call import Call
    from .node import Node

FIRST_EVENT_SLACK_S = 0.3
FIRST_EVENT_SLACK_FACTOR = 3.0
PATIENCE_TARGETS = 3.6
"""Callers leave after four latency targets without an event."""

MIN_LEFT_S = 0.02
DEFAULT_PROMPT_TOKENS = 1000


class StreamFlow:
    """Opens one stream and keeps it going."""

    def __init__(self, node: Node, call: Call, traits: EngineTraits) -> None:
        """Prepares the call."""
        self._node = node
        self._call = call
        self._traits = traits
        self._attempts = Attempts(node, call)
        self._waited_s = 0.0
        self._is_resuming = False
        self._silent_since_s = call.arrived_s
        prompt = call.terms.prompt_tokens
        if prompt is None:
            prompt = DEFAULT_PROMPT_TOKENS
        self._need = StreamNeed(
            prompt_tokens=prompt,
            memory_tokens=node.outputs.memory_tokens(
                prompt, call.terms.output_tokens
            ),
        )
        self._reader = PromptReader(
            node, call, self._attempts, self._need, traits
        )

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
        self._is_resuming = True
        self._silent_since_s = self._node.clock()
        run = await self._open(last_id)
        if run.reply.is_success:
            return run
        run.close()
        return None

    def lost(self, run: EngineRun, reason: str) -> None:
        """Notes that an engine broke off or fell silent."""
        run.close()
        upstream = run.reply.upstream
        self._note_failure(upstream, SendFailure.BROKEN, detail=reason)
        self._node.check_reachable(upstream)

    async def _open(self, resume_after: int | None) -> EngineRun:
        while self._attempts.left_s > MIN_LEFT_S:
            plan = await self._plan()
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
            if not self._attempts.may_send():
                raise self._attempts.error()
            run.source = self._reader.handle
            is_open = await self._decode(plan, run, resume_after)
        finally:
            if not is_open:
                run.close()
        return is_open

    async def _plan(self) -> StreamPlan:
        """Returns where to run; waits in line while there is no room."""
        service_id = self._call.service.service_id
        line = self._node.line(service_id)
        ticket = self._ticket()
        line.join(ticket)
        try:
            while True:
                now_s = self._node.clock()
                if line.is_first(ticket, now_s):
                    plan = self._best_plan()
                    if plan is not None:
                        self._waited_s = now_s - ticket.arrived_s
                        self._node.metrics.record(Stage.WAIT, self._waited_s)
                        return plan
                self._check_wait(line, ticket, now_s)
                peers = self._node.waiting_peers(service_id)
                await asyncio.sleep(next_look_s(peers, self._node.rng.random()))
        finally:
            line.leave(ticket)

    def _ticket(self) -> Ticket:
        call = self._call
        read_s = read_alone_s(self._need)
        return Ticket(
            tokens=self._need.memory_tokens,
            priority=call.priority,
            served=0.0
            if call.workspace_id is None
            else self._node.quota.own_count(
                call.workspace_id, self._node.clock()
            ),
            arrived_s=self._node.clock(),
            on_time_until_s=call.arrived_s + call.route.target_s - read_s,
            useful_until_s=self._silent_since_s
            + call.route.target_s * PATIENCE_TARGETS
            - read_s,
            is_resumed=self._is_resuming,
        )

    def _check_wait(self, line: WaitLine, ticket: Ticket, now_s: float) -> None:
        """Refuses a stream at once that would wait too long."""
        service_id = self._call.service.service_id
        capacity = sum(
            self._traits.memory_tokens
            for choice in self._choices()
            if choice.decodes
        )
        peer_tokens = self._node.peer_waiting_tokens(service_id)
        verdict = line.judge(
            ticket,
            peer_tokens=peer_tokens,
            release_per_s=capacity / RESIDENCE_S,
            now_s=now_s,
        )
        if verdict is Verdict.REFUSE or self._attempts.left_s < MIN_LEFT_S:
            raise self._attempts.error(
                ErrorKind.QUEUE_TIMEOUT,
                f'{line.count} streams wait here, {peer_tokens} tokens at'
                f' peers, for {capacity} tokens of memory',
            )

    def _choices(self) -> list[Choice]:
        service = self._call.service
        return self._node.choices(
            service.service_id, service, self._attempts.excluded
        )

    def _best_plan(self) -> StreamPlan | None:
        choices = self._choices()
        if self._reader.is_spent:
            choices = [one for one in choices if one.decodes]
        need = self._need
        if self._reader.handle is not None:
            need = replace(need, prompt_tokens=0)
        return plan_stream(choices, need, self._traits)

    async def _decode(
        self, plan: StreamPlan, run: EngineRun, resume_after: int | None
    ) -> bool:
        upstream = plan.decode.upstream
        upstream_id = upstream.upstream_id
        self._log_placed(plan, resume_after)
        self._attempts.note_sent()
        self._node.cold.spend(upstream_id)
        wait_s = FIRST_EVENT_SLACK_S
        wait_s += plan.first_token_s * FIRST_EVENT_SLACK_FACTOR
        try:
            async with asyncio.timeout(self._patience_s(wait_s)):
                await run.open(resume_after)
            return await self._accepts(run)
        except ConnectError as error:
            self._attempts.note_not_counted()
            self._node.note_unreachable(upstream_id, str(error))
            self._attempts.failed(upstream_id, SendFailure.UNREACHABLE)
        except ExchangeError as error:
            self._reader.note_taken()
            self._note_failure(upstream, SendFailure.BROKEN, detail=str(error))
            self._node.check_crash(upstream, self._call.fingerprint)
        except TimeoutError:
            self._reader.note_taken()
            self._attempts.has_timed_out = True
            self._note_failure(upstream, SendFailure.SILENT, waited_s=wait_s)
            self._node.check_reachable(upstream)
        return False

    async def _accepts(self, run: EngineRun) -> bool:
        reply = run.reply
        if reply.marks.has_not_run:
            await run.read_failure()
            self._node.note_refused(reply)
            if reply.marks.is_misdirected:
                self._attempts.note_not_counted()
            else:
                self._reader.note_refused()
            upstream_id = reply.upstream.upstream_id
            load = self._node.loads.total(upstream_id, self._node.clock())
            self._attempts.failed(
                upstream_id,
                SendFailure.REFUSED,
                status=reply.status,
                running=load.running,
                memory_tokens=load.memory_tokens,
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

    def _note_failure(
        self, upstream: Upstream, failure: SendFailure, **inputs: object
    ) -> None:
        self._attempts.may_have_run = True
        upstream_id = upstream.upstream_id
        self._node.health.note_failure(upstream_id, self._node.clock())
        self._attempts.failed(upstream_id, failure, **inputs)

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
            waited_s=round(self._waited_s, 4),
            members=self._node.members.count,
            silent=self._node.members.silent(self._node.clock()),
            resume_after=resume_after,
        )


__all__ = ('StreamFlow',)
