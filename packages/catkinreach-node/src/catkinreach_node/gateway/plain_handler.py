"""Serves requests to plain services; a reply is buffered as a whole."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from catkinreach_core.gateway.catalog import RouteKind
from catkinreach_core.gateway.load_table import UpstreamLoad
from catkinreach_core.gateway.placement import choose_plain_upstream

from ..http.connection import ConnectError, ExchangeError
from ..http.messages import HttpResponse
from .admitted_request import Attempts, SendFailure, record_answer
from .exchange import exchange
from .send_timeout import send_timeout

if TYPE_CHECKING:
    from collections.abc import Set as AbstractSet

    from catkinreach_core.gateway.upstream import Upstream
    from catkinreach_core.ids import UpstreamId

    from .admitted_request import AdmittedRequest
    from .exchange import Reply
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
        return await asyncio.shield(running)

    @property
    def may_run(self) -> bool:
        """Returns whether the request may have run, or still may."""
        is_detached = self._admitted.route.kind is RouteKind.NON_IDEMPOTENT
        return is_detached or self._attempts.has_sent

    async def _serve(self) -> HttpResponse:
        while self._attempts.remaining_s > MIN_REMAINING_S:
            await self._node.load_queries.refresh(
                self._admitted.service.service_id, self._admitted.workspace_id
            )
            upstream = self._choose_upstream()
            if upstream is None or not self._attempts.try_acquire_send():
                break
            answer = await self._send(upstream)
            if answer is not None:
                return answer
        if self._failure_response is not None:
            return self._failure_response
        raise self._attempts.error()

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

    async def _send(self, upstream: Upstream) -> HttpResponse | None:
        work = UpstreamLoad(running=1)
        upstream_id = upstream.upstream_id
        self._node.loads.begin_work(upstream_id, work)
        self._node.report_change()
        self._node.cold_rate_limiter.spend(upstream_id)
        self._attempts.count_send()
        disconnect_reason = None
        try:
            async with send_timeout(
                self._attempts.remaining_s,
                self._admitted.route.target_s * REPLY_TIMEOUT_RATIO,
                lambda: self._may_give_up(upstream),
            ):
                return await self._exchange(upstream)
        except ConnectError as error:
            self._attempts.record_unreachable(upstream, error)
        except ExchangeError as error:
            disconnect_reason = str(error)
        except TimeoutError:
            self._attempts.record_timeout(upstream)
        finally:
            self._node.loads.end_work(upstream_id, work)
            self._node.report_change()
        if disconnect_reason is not None:
            # Outside of the handler, since the error keeps the partial reply.
            await self._attempts.record_disconnect(upstream, disconnect_reason)
        return None

    def _may_give_up(self, upstream: Upstream) -> bool:
        """Checks a silent upstream; returns whether another can be sent to."""
        self._node.checks.check_silent(upstream)
        return (
            self._admitted.route.is_retryable
            and self._attempts.can_replace
            and self._choose_upstream({upstream.upstream_id}) is not None
            and self._attempts.try_reserve_retry()
        )

    async def _exchange(self, upstream: Upstream) -> HttpResponse | None:
        admitted = self._admitted
        request = self._node.dialect.upstream_request(
            admitted.request,
            admitted.forward_metadata(upstream, self._node.clock()),
        )
        reply = await exchange(
            self._node, upstream, request, admitted.metadata.request_id
        )
        body = await reply.read_all()
        return self._handle_reply(reply, body)

    def _handle_reply(self, reply: Reply, body: bytes) -> HttpResponse | None:
        if reply.metadata.has_not_run:
            self._attempts.record_refusal(reply)
            return None
        if not reply.metadata.is_sealed:
            raise ExchangeError('reply without the seal of its upstream')
        answer = HttpResponse(
            reply.status, self._node.dialect.caller_headers(reply.headers), body
        )
        if reply.is_success:
            self._node.crash_suspects.clear_now(
                self._admitted.suspect_keys, self._node.clock()
            )
            record_answer(
                self._node,
                self._admitted,
                reply.upstream.upstream_id,
                status=reply.status,
            )
            return answer
        self._failure_response = answer
        self._attempts.record_failure_after_send(
            reply.upstream, SendFailure.FAILED, status=reply.status
        )
        return None


def _consume_outcome(running: asyncio.Future[HttpResponse]) -> None:
    """Retrieves the outcome, so that asyncio logs no unhandled exception."""
    if not running.cancelled():
        running.exception()


__all__ = ('PlainHandler',)
