"""Streams: prefill, decode, and the way on when an engine is lost."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from catkinreach_core.errors import ErrorKind
from catkinreach_core.gateway.load_table import UpstreamLoad
from catkinreach_core.gateway.placement import (
    StreamNeed,
    plan_stream,
    read_alone_s,
)
from catkinreach_core.gateway.stage_plan import RESIDENCE_S
from catkinreach_core.gateway.wait_line import Ticket, Verdict

from ..http.client import ConnectError, ExchangeError
from ..http.messages import HttpResponse
from .call import Attempts
from .decision_log import Event
from .engine_run import EngineRun
from .event_relay import EventRelay
from .exchange import exchange

if TYPE_CHECKING:
    from catkinreach_core.gateway.catalog import EngineTraits
    from catkinreach_core.gateway.placement import Choice, StreamPlan
    from catkinreach_core.gateway.terms import KvHandle
    from catkinreach_core.gateway.upstream import Upstream
    from catkinreach_core.gateway.wait_line import WaitLine

    from .call import Call
    from .node import Node

ROOM_POLL_S = 0.01
PREFILL_SLACK_S = 0.2
PREFILL_SLACK_FACTOR = 3.0
"""A prefill may take its prediction times this, plus the slack."""

FIRST_EVENT_SLACK_S = 0.3
FIRST_EVENT_SLACK_FACTOR = 3.0
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
        self._is_prefill_spent = call.terms.resume_after is not None
        prompt = call.terms.prompt_tokens
        if prompt is None:
            prompt = DEFAULT_PROMPT_TOKENS
        self._need = StreamNeed(
            prompt_tokens=prompt,
            memory_tokens=node.outputs.memory_tokens(
                prompt, call.terms.output_tokens
            ),
        )

    async def run(self) -> HttpResponse:
        """Returns the answer once its first event is there.

        Raises:
            CatkinreachError: if it can't be served.
        """
        run = await self._open(self._call.terms.resume_after)
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
        run = await self._open(last_id)
        if run.reply.is_success:
            return run
        run.close()
        return None

    def lost(self, run: EngineRun, reason: str) -> None:
        """Notes that an engine broke off or fell silent."""
        run.close()
        upstream = run.reply.upstream
        self._note_failure(upstream, reason)

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
        try:
            if plan.prefill is not None:
                run.source = await self._prefill(plan.prefill.upstream, plan)
                if run.source is None:
                    return False
            if not self._attempts.may_send():
                raise self._attempts.error()
            is_open = await self._decode(plan, run, resume_after)
        finally:
            if not is_open:
                run.close()
                self._free(run.source)
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
                        return plan
                self._check_wait(line, ticket, now_s)
                await asyncio.sleep(
                    ROOM_POLL_S * (0.5 + self._node.rng.random())
                )
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
        )

    def _check_wait(self, line: WaitLine, ticket: Ticket, now_s: float) -> None:
        """Refuses a stream at once that would wait too long."""
        service_id = self._call.service.service_id
        capacity = sum(
            self._traits.memory_tokens
            for choice in self._choices()
            if choice.decodes
        )
        verdict = line.judge(
            ticket,
            peer_tokens=self._node.peer_waiting_tokens(service_id),
            release_per_s=capacity / RESIDENCE_S,
            now_s=now_s,
        )
        if verdict is Verdict.REFUSE or self._attempts.left_s < MIN_LEFT_S:
            raise self._attempts.error(ErrorKind.QUEUE_TIMEOUT)

    def _choices(self) -> list[Choice]:
        service = self._call.service
        return self._node.choices(
            service.service_id, service, self._attempts.excluded
        )

    def _best_plan(self) -> StreamPlan | None:
        choices = self._choices()
        if self._is_prefill_spent:
            choices = [one for one in choices if one.decodes]
        return plan_stream(choices, self._need, self._traits)

    async def _prefill(
        self, upstream: Upstream, plan: StreamPlan
    ) -> KvHandle | None:
        """Has the prompt read; only the first such call is free."""
        self._is_prefill_spent = True
        work = UpstreamLoad(running=1, prefill_tokens=self._need.prompt_tokens)
        upstream_id = upstream.upstream_id
        self._node.begin_work(upstream_id, work)
        self._node.cold.spend(upstream_id)
        wait_s = PREFILL_SLACK_S + plan.first_token_s * PREFILL_SLACK_FACTOR
        try:
            async with asyncio.timeout(min(wait_s, self._attempts.left_s)):
                return await self._prefill_exchange(upstream)
        except ConnectError:
            self._node.health.note_unreachable(upstream_id, self._node.clock())
            self._attempts.failed(upstream_id, 'prefill unreachable')
        except ExchangeError as error:
            self._node.health.note_failure(upstream_id, self._node.clock())
            self._attempts.failed(upstream_id, f'prefill: {error}')
            self._node.check_crash(upstream, self._call.fingerprint)
        except TimeoutError:
            self._node.health.note_failure(upstream_id, self._node.clock())
            self._attempts.failed(upstream_id, 'prefill not in time')
        finally:
            self._node.end_work(upstream_id, work)
        return None

    async def _prefill_exchange(self, upstream: Upstream) -> KvHandle | None:
        call = self._call
        request = self._node.dialect.prefill_request(
            call.request, call.send_terms(upstream, self._node.clock())
        )
        reply = await exchange(
            self._node, upstream, request, call.terms.request_id
        )
        body = await reply.read_all()
        handle = self._node.dialect.read_handle(upstream.address, body)
        if handle is not None and not reply.marks.has_not_run:
            self._node.health.note_success(
                upstream.upstream_id, self._node.clock()
            )
            return handle
        if reply.marks.has_not_run and not reply.marks.is_other_upstream:
            self._attempts.note_sent()
        self._node.note_refused(reply)
        self._attempts.failed(
            upstream.upstream_id, 'prefill refused', status=reply.status
        )
        return None

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
        except ConnectError:
            self._attempts.note_not_counted()
            self._node.health.note_unreachable(upstream_id, self._node.clock())
            self._attempts.failed(upstream_id, 'unreachable')
        except ExchangeError as error:
            self._note_failure(upstream, str(error))
            self._node.check_crash(upstream, self._call.fingerprint)
        except TimeoutError:
            self._attempts.has_timed_out = True
            self._note_failure(upstream, 'no first event in time')
        return False

    async def _accepts(self, run: EngineRun) -> bool:
        reply = run.reply
        if reply.marks.has_not_run:
            await run.read_failure()
            self._node.note_refused(reply)
            if reply.marks.is_other_upstream:
                self._attempts.note_not_counted()
            upstream_id = reply.upstream.upstream_id
            load = self._node.loads.total(upstream_id, self._node.clock())
            self._attempts.failed(
                upstream_id,
                'refused',
                status=reply.status,
                running=load.running,
                memory_tokens=load.memory_tokens,
            )
            return False
        if not reply.marks.is_sealed:
            raise ExchangeError('reply without the mark of its upstream')
        return True

    def _patience_s(self, wait_s: float) -> float:
        """Returns how long to wait before another engine is tried."""
        left_s = self._attempts.left_s
        return min(left_s, wait_s) if self.can_resume else left_s

    def _note_failure(self, upstream: Upstream, reason: str) -> None:
        self._attempts.may_have_run = True
        upstream_id = upstream.upstream_id
        self._node.health.note_failure(upstream_id, self._node.clock())
        self._attempts.failed(upstream_id, reason)

    def _free(self, handle: KvHandle | None) -> None:
        if handle is not None:
            self._node.free_handle(handle)

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
            members=self._node.members.count,
            resume_after=resume_after,
        )


__all__ = ('StreamFlow',)
