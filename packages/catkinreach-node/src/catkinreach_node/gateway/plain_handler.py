"""Serves requests to plain services; a reply is buffered as a whole."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from catkinreach_core.gateway.catalog import RouteKind
from catkinreach_core.gateway.placement import choose_plain_upstream

from ..http.connection import ConnectError, ExchangeError
from ..http.messages import HttpResponse
from .attempts import Attempts
from .outcomes import record_answer
from .plain_send import PlainSend
from .reply_wait import ReplyWait
from .send_failure import SendFailure

if TYPE_CHECKING:
    from collections.abc import Set as AbstractSet

    from catkinreach_core.gateway.upstream import Upstream
    from catkinreach_core.ids import UpstreamId

    from .admitted_request import AdmittedRequest
    from .handover import Handover
    from .node import Node

REPLY_TIMEOUT_RATIO = 0.6
"""Time after which a retryable request may be sent to another upstream, as a
fraction of the latency target."""

MIN_REMAINING_S = 0.005
"""Time to the deadline below which a request isn't sent."""

LOAD_JITTER = 0.01
"""Random addition to a load, so that nodes with equal views choose different
upstreams."""


class PlainHandler:
    """Sends a request until it succeeds or can't be retried."""

    def __init__(self, node: Node, admitted: AdmittedRequest) -> None:
        """Prepares the request; nothing is sent yet."""
        self._node = node
        self._admitted = admitted
        self._attempts = Attempts(node, admitted)
        self._has_returned = False
        self._failure_response: HttpResponse | None = None

    async def run(self) -> HttpResponse:
        """Returns the response.

        A non-idempotent request continues after its caller disconnects: it may
        be running already, and its connection stays reusable.

        Raises:
            CatkinreachError: if it can't be served.
        """
        if self._admitted.route.kind is not RouteKind.NON_IDEMPOTENT:
            return await self._serve()
        running = asyncio.ensure_future(self._serve())
        running.add_done_callback(_consume_outcome)
        hold = self._admitted.request.hold
        if hold is not None:
            hold.keep()
            running.add_done_callback(lambda _: hold.release())
        return await asyncio.shield(running)

    @property
    def may_run(self) -> bool:
        """Returns whether the request may have run, or still may."""
        is_detached = self._admitted.route.kind is RouteKind.NON_IDEMPOTENT
        return is_detached or self._attempts.has_sent

    @property
    def can_replace(self) -> bool:
        """Returns whether another upstream may replace a silent one."""
        return self._admitted.route.is_retryable and self._attempts.can_replace

    async def resume(
        self,
        last_id: int | None,
        handover: Handover[PlainSend] | None = None,
    ) -> PlainSend | None:
        """Sends the request to another upstream; ``None`` if none serves it.

        Args:
            last_id: Unused; only streams have events.
            handover: Handover from a silent upstream.
        """
        del last_id
        if handover is None:
            return None
        if not self._has_returned:
            self._attempts.set_aside(handover.silent_upstream)
        try:
            send = await self._try_upstreams()
        finally:
            self._attempts.release_retries()
        if send is not None:
            handover.give_up()
        return send

    def may_return(self, send: PlainSend) -> bool:
        """Returns whether a silent upstream may get the request anew."""
        if self._has_returned:
            return False
        self._has_returned = self._attempts.try_reserve_return(send.upstream)
        return self._has_returned

    def record_lost(
        self, send: PlainSend, failure: SendFailure, detail: str
    ) -> None:
        """Closes the send of an upstream that disconnected or is silent."""
        send.close()
        self._attempts.record_lost(send.upstream, failure, detail)

    async def _serve(self) -> HttpResponse:
        try:
            send = await self._try_upstreams()
        finally:
            self._attempts.release_retries()
        if send is not None:
            return self._response(send)
        if self._failure_response is not None:
            return self._failure_response
        raise self._attempts.error()

    async def _try_upstreams(self) -> PlainSend | None:
        """Returns the send that succeeded; ``None`` if none may follow."""
        while self._attempts.remaining_s > MIN_REMAINING_S:
            await self._node.load_queries.refresh(
                self._admitted.service.service_id, self._admitted.workspace_id
            )
            await self._attempts.finish_crash_check()
            upstream = self._choose_upstream()
            if upstream is None or not self._attempts.try_acquire_send():
                break
            send = await self._send(upstream)
            if send is not None:
                return send
        return None

    def _choose_upstream(
        self, silent: AbstractSet[UpstreamId] = frozenset()
    ) -> Upstream | None:
        service = self._admitted.service
        candidates = self._attempts.usable(
            self._node.candidates(
                service.service_id, service, self._attempts.excluded | silent
            )
        )
        known = choose_plain_upstream(
            candidates,
            self._node.settings.domain_id,
            lambda: self._node.rng.random() * LOAD_JITTER,
        )
        return known.upstream if known else None

    async def _send(self, upstream: Upstream) -> PlainSend | None:
        """Returns the first successful send of this one and its replacement."""
        self._node.cold_rate_limiter.spend(upstream.upstream_id)
        self._node.limits.spend(upstream.upstream_id)
        self._attempts.count_send()
        send = PlainSend(self._node, self._admitted, upstream)
        reply_wait = ReplyWait(self, send, send.start(), may_run_twice=True)
        try:
            return await self._take_first_reply(send, reply_wait)
        finally:
            reply_wait.close()
            send.close()

    async def _take_first_reply(
        self, send: PlainSend, reply_wait: ReplyWait[PlainSend]
    ) -> PlainSend | None:
        try:
            first = await reply_wait.first_reply(
                self._attempts.remaining_s,
                self._admitted.route.target_s * REPLY_TIMEOUT_RATIO,
                lambda: self._may_replace(send.upstream),
            )
            if first is not send or self._is_success(send):
                return first
        except ConnectError as error:
            self._attempts.record_unreachable(send.upstream, error)
        except ExchangeError as error:
            self.record_lost(send, SendFailure.BROKEN, str(error))
        except TimeoutError:
            self._attempts.record_timeout(send.upstream)
            return None
        reply_wait.note_failed()
        await self._attempts.finish_crash_check()
        return await reply_wait.other_send()

    def _may_replace(self, upstream: Upstream) -> bool:
        """Checks a silent upstream; returns whether another can be sent to."""
        self._node.checks.check_silent(upstream)
        return (
            self.can_replace
            and self._choose_upstream({upstream.upstream_id}) is not None
            and self._attempts.try_hold_retries()
        )

    def _is_success(self, send: PlainSend) -> bool:
        """Records a reply; returns whether it is the answer."""
        reply = send.reply
        if reply.metadata.has_not_run:
            self._attempts.record_refusal(reply)
            return False
        if not reply.metadata.is_sealed:
            raise ExchangeError('reply without the seal of its upstream')
        if reply.is_success:
            self._node.crash_suspects.clear_now(
                self._admitted.suspect_keys, self._node.clock()
            )
            record_answer(
                self._node,
                self._admitted,
                send.upstream.upstream_id,
                status=reply.status,
            )
            return True
        self._failure_response = self._response(send)
        self._attempts.record_failure_after_send(
            send.upstream, SendFailure.FAILED, status=reply.status
        )
        return False

    def _response(self, send: PlainSend) -> HttpResponse:
        reply = send.reply
        headers = self._node.dialect.caller_headers(reply.headers)
        return HttpResponse(reply.status, headers, send.body)


def _consume_outcome(running: asyncio.Future[HttpResponse]) -> None:
    """Retrieves the outcome, so that asyncio logs no unhandled exception."""
    if not running.cancelled():
        running.exception()


__all__ = ('PlainHandler',)
