"""Stage that forwards requests to plain (non-model) services."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from catkinreach_core.errors import CatkinreachError, ErrorKind, Outcome
from catkinreach_core.placement.plain import PlainBalancer

from ..http.connection import ConnectError, ExchangeError
from ..http.messages import HOP_BY_HOP_HEADERS, HttpRequest, HttpResponse
from ..http.witness import Witness
from ..telemetry.hop_recorder import TRACE_HEADER
from ..telemetry.hops import Hop
from .engine_client import upstream_address

if TYPE_CHECKING:
    from catkinreach_core.ids import PoolId
    from catkinreach_core.settings.fleet import Upstream

    from ..http.client import HttpClient
    from ..http.messages import Headers
    from ..telemetry.hop_recorder import HopRecorder, TraceScope
    from .context import SessionContext
    from .interfaces import Limiter, OrderHandler

WORKSPACE_HEADER = 'x-workspace'

RESPONSE_TIMEOUT_S = 60.0
"""Time from acceptance in which a response has to be whole, with its retry; as
long as the callers of orders wait."""

# Host is set anew by the sender.
_HOP_BY_HOP = HOP_BY_HOP_HEADERS | {'host'}
_NEVER_FORWARDED = _HOP_BY_HOP | {
    'authorization',
    'cookie',
    TRACE_HEADER,
    WORKSPACE_HEADER,
}


def forwarded_headers(session: SessionContext, scope: TraceScope) -> Headers:
    """Returns the headers to send to an upstream.

    Credentials and hop-by-hop headers of the caller are dropped. The workspace
    and trace headers are replaced by those of this node.
    """
    headers = [
        (name, value)
        for name, value in session.request.headers
        if name not in _NEVER_FORWARDED
    ]
    if session.workspace_id is not None:
        headers.append((WORKSPACE_HEADER, session.workspace_id))
    if scope.traceparent:
        headers.append((TRACE_HEADER, scope.traceparent))
    return headers


class PlainForwarder:
    """Chooses an upstream of a plain service and forwards a request."""

    def __init__(self, client: HttpClient, hops: HopRecorder) -> None:
        """Forwards requests through ``client``."""
        self._client = client
        self._hops = hops
        self._balancer = PlainBalancer()
        self._pools_without_length: set[PoolId] = set()

    def choose_upstream(self, session: SessionContext) -> Upstream:
        """Returns the upstream in service with the lowest utilization.

        Upstreams that recently refused or lost a connection come last.

        Raises:
            CatkinreachError: ``NO_UPSTREAM``, or ``DEPENDENCY_OUT`` if a
                service that this one depends on has no upstream in service.
        """
        settings = session.settings
        _check_dependencies(session)
        candidates = [
            upstream
            for upstream in settings.upstreams_of(session.service.pool)
            if settings.is_in_service(upstream)
        ]
        chosen = self._balancer.choose_upstream(candidates, time.monotonic())
        if chosen is None:
            raise CatkinreachError(ErrorKind.NO_UPSTREAM)
        return chosen

    async def forward(
        self, session: SessionContext, upstream: Upstream
    ) -> HttpResponse:
        """Sends the request to an upstream once and returns its response.

        It has a connection of its own, since responses don't name their
        request.

        Raises:
            CatkinreachError: ``NO_UPSTREAM`` if nothing was sent,
                ``UPSTREAM_FAILED`` if the upstream may have received
                a part of the request, or wasn't done in time.
        """
        with self._hops.measure(Hop.PLAIN, session.trace) as scope:
            scope.set_attribute('upstream', upstream.upstream_id)
            return await self._exchange(
                HttpRequest(
                    method=session.request.method,
                    target=session.request.target,
                    headers=forwarded_headers(session, scope),
                    body=session.request.body,
                ),
                upstream,
                deadline_s=_deadline_s(session),
                is_order=not session.route.is_repeatable,
            )

    async def _exchange(
        self,
        request: HttpRequest,
        upstream: Upstream,
        *,
        deadline_s: float,
        is_order: bool,
    ) -> HttpResponse:
        upstream_id = upstream.upstream_id
        witness = Witness(upstream_address(upstream))
        has_witness = is_order or upstream.pool_id in self._pools_without_length
        is_complete = False
        self._balancer.start_request(upstream_id)
        try:
            async with (
                asyncio.timeout(deadline_s - time.monotonic()),
                self._client.exchange(
                    upstream_address(upstream),
                    request,
                    is_new_connection=True,
                    before_send=witness.open if has_witness else None,
                ) as response,
            ):
                caller_response = HttpResponse(
                    status=response.status,
                    headers=[
                        (name, value)
                        for name, value in response.headers
                        if name not in _HOP_BY_HOP
                    ],
                    body=await response.read(),
                )
                if request.method != 'HEAD' and response.ends_with_connection:
                    await self._check_end(upstream, witness)
                is_complete = True
                return caller_response
        except ConnectError as error:
            self._balancer.record_connection_failure(
                upstream_id, time.monotonic()
            )
            raise CatkinreachError(ErrorKind.NO_UPSTREAM) from error
        except (ExchangeError, TimeoutError) as error:
            self._balancer.record_connection_failure(
                upstream_id, time.monotonic()
            )
            raise CatkinreachError(
                ErrorKind.UPSTREAM_FAILED, outcome=Outcome.UNKNOWN
            ) from error
        finally:
            witness.close()
            self._balancer.end_request(upstream_id, is_complete=is_complete)

    async def _check_end(self, upstream: Upstream, witness: Witness) -> None:
        """Checks that a response ended with its connection only.

        The first read of a pool that gets such a response has no witness; it
        is sent again.

        Raises:
            ExchangeError: if the upstream may have crashed.
        """
        self._pools_without_length.add(upstream.pool_id)
        if not await witness.has_lived():
            raise ExchangeError('connection ended with its upstream')


def _deadline_s(session: SessionContext) -> float:
    return session.accepted_at_s + RESPONSE_TIMEOUT_S


def _check_dependencies(session: SessionContext) -> None:
    settings = session.settings
    for service_id in session.service.depends_on:
        dependency = settings.services[service_id]
        pools = {
            dependency.pool,
            dependency.prefill_pool,
            dependency.decode_pool,
        } - {None}
        for pool_id in pools:
            upstreams = settings.upstreams_of(pool_id)
            if not any(map(settings.is_in_service, upstreams)):
                raise CatkinreachError(
                    ErrorKind.DEPENDENCY_OUT,
                    f'service {service_id} has no upstream in service',
                )


class PlainStage:
    """Serves requests to plain services."""

    def __init__(
        self, forwarder: PlainForwarder, limiter: Limiter, orders: OrderHandler
    ) -> None:
        """Takes the forwarder, the limiter and the handler for orders."""
        self._forwarder = forwarder
        self._limiter = limiter
        self._orders = orders

    async def serve(self, session: SessionContext) -> HttpResponse:
        """Serves a request; a repeatable one is retried once after a failure.

        A request that is not repeatable is an order, which the owner of its
        idempotency key admits and runs at most once.
        """
        if not session.route.is_repeatable:
            return await self._orders.serve(session)
        grant = await self._limiter.admit(session, 0)
        try:
            return await self._serve_admitted(session)
        finally:
            grant.settle(0)

    async def _serve_admitted(self, session: SessionContext) -> HttpResponse:
        """Forwards a request, once more after a failure.

        A refusal of the second send says nothing about the first one.
        """
        try:
            return await self._forward(session)
        except CatkinreachError as error:
            first_error = error
        if time.monotonic() >= _deadline_s(session):
            raise first_error
        try:
            return await self._forward(session)
        except CatkinreachError as error:
            if error.outcome is Outcome.NOT_RUN:
                raise first_error from error
            raise

    async def _forward(self, session: SessionContext) -> HttpResponse:
        upstream = self._forwarder.choose_upstream(session)
        return await self._forwarder.forward(session, upstream)


__all__ = ('PlainForwarder', 'PlainStage', 'forwarded_headers')
