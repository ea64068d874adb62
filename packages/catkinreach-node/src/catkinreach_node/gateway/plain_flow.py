"""Requests to plain services: one reply, read whole before it is passed on."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from catkinreach_core.gateway.catalog import RouteKind
from catkinreach_core.gateway.load_table import UpstreamLoad
from catkinreach_core.gateway.placement import choose_plain

from ..http.client import ConnectError, ExchangeError
from ..http.messages import HttpResponse
from .call import Attempts, SendFailure, note_answered
from .exchange import exchange

if TYPE_CHECKING:
    from catkinreach_core.gateway.upstream import Upstream

    from .call import Call
    from .exchange import Reply
    from .node import Node

FIRST_WAIT_SHARE = 0.6
"""Part of the latency target that a repeatable request waits for a reply."""

MIN_LEFT_S = 0.005
JITTER = 0.01
"""Keeps nodes with the same view from choosing the same upstream."""


class PlainFlow:
    """Sends one call until it is answered or may not be sent again."""

    def __init__(self, node: Node, call: Call) -> None:
        """Prepares the call."""
        self._node = node
        self._call = call
        self._attempts = Attempts(node, call)
        self._failure: HttpResponse | None = None

    async def run(self) -> HttpResponse:
        """Returns the answer.

        A request that must not run twice goes on when its caller leaves: it
        may be running, and its connection stays usable.

        Raises:
            CatkinreachError: if it can't be served.
        """
        if self._call.route.kind is not RouteKind.NON_IDEMPOTENT:
            return await self._serve()
        running = asyncio.ensure_future(self._serve())
        running.add_done_callback(_retrieve)
        return await asyncio.shield(running)

    async def _serve(self) -> HttpResponse:
        while self._attempts.left_s > MIN_LEFT_S:
            upstream = self._choose()
            if upstream is None or not self._attempts.may_send():
                break
            answer = await self._attempt(upstream)
            if answer is not None:
                return answer
        if self._failure is not None:
            return self._failure
        raise self._attempts.error()

    def _choose(self) -> Upstream | None:
        service = self._call.service
        choices = self._node.choices(
            service.service_id, service, self._attempts.excluded
        )
        known = choose_plain(
            choices,
            self._node.settings.domain_id,
            lambda: self._node.rng.random() * JITTER,
        )
        return known.upstream if known else None

    async def _attempt(self, upstream: Upstream) -> HttpResponse | None:
        work = UpstreamLoad(running=1)
        upstream_id = upstream.upstream_id
        self._node.loads.begin(upstream_id, work)
        self._node.cold.spend(upstream_id)
        self._attempts.note_sent()
        try:
            async with asyncio.timeout(self._wait_s()):
                return await self._exchange(upstream)
        except ConnectError as error:
            self._attempts.unreachable(upstream, error)
        except ExchangeError as error:
            self._attempts.broken(upstream, error)
        except TimeoutError:
            self._attempts.silent(upstream)
        finally:
            self._node.loads.end(upstream_id, work)
        return None

    def _wait_s(self) -> float:
        left_s = self._attempts.left_s
        if not self._call.route.may_repeat or not self._attempts.is_repeatable:
            return left_s
        return min(left_s, self._call.route.target_s * FIRST_WAIT_SHARE)

    async def _exchange(self, upstream: Upstream) -> HttpResponse | None:
        call = self._call
        request = self._node.dialect.run_request(
            call.request, call.send_terms(upstream, self._node.clock())
        )
        reply = await exchange(
            self._node, upstream, request, call.terms.request_id
        )
        body = await reply.read_all()
        return self._judge(reply, body)

    def _judge(self, reply: Reply, body: bytes) -> HttpResponse | None:
        if reply.marks.has_not_run:
            self._attempts.refused(reply)
            return None
        if not reply.marks.is_sealed:
            raise ExchangeError('reply without the mark of its upstream')
        answer = HttpResponse(
            reply.status, self._node.dialect.caller_headers(reply.headers), body
        )
        if reply.is_success:
            note_answered(
                self._node,
                self._call,
                reply.upstream.upstream_id,
                status=reply.status,
            )
            return answer
        self._failure = answer
        self._attempts.may_have_failed(
            reply.upstream, SendFailure.FAILED, status=reply.status
        )
        return None


def _retrieve(running: asyncio.Future[HttpResponse]) -> None:
    """Takes the outcome, which nobody waits for once the caller has left."""
    if not running.cancelled():
        running.exception()


__all__ = ('PlainFlow',)
