"""Forwards an order from the owner of its key to an upstream."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final

from opentelemetry.trace import INVALID_SPAN

from catkinreach_core.errors import CatkinreachError, ErrorKind, Outcome
from catkinreach_core.messages.orders import OrderAnswer, OrderCall

from ..http.messages import HttpRequest, HttpResponse
from ..session.context import SessionContext
from ..telemetry.hop_recorder import TraceScope

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..config.state import FleetState
    from ..session.interfaces import Limiter
    from ..session.plain import PlainForwarder

MAX_UPSTREAM_ATTEMPTS: Final = 2
"""Largest number of upstreams tried while no byte of the order was sent."""

MAX_ANSWER_BYTES: Final = 1536 * 1024
"""Largest answer that fits into a peer frame."""


class OrderRunner:
    """Sends an order once, to one upstream."""

    def __init__(
        self, state: FleetState, forwarder: PlainForwarder, limiter: Limiter
    ) -> None:
        """Stores the forwarder and the rate limiter."""
        self._state = state
        self._forwarder = forwarder
        self._limiter = limiter

    async def run(
        self, call: OrderCall, is_owner: Callable[[], bool]
    ) -> OrderAnswer:
        """Returns the answer; ``is_owner`` is called right before the send.

        Raises:
            CatkinreachError: The outcome is ``not-run`` only if no byte of
                the order was sent.
        """
        session = self._session(call)
        grant = await self._limiter.admit(session, 0)
        try:
            return answer_from_response(
                await self._send_order(session, is_owner)
            )
        finally:
            grant.settle(0)

    async def _send_order(
        self, session: SessionContext, is_owner: Callable[[], bool]
    ) -> HttpResponse:
        for _ in range(MAX_UPSTREAM_ATTEMPTS):
            upstream = self._forwarder.choose_upstream(session)
            if not is_owner():
                raise CatkinreachError(ErrorKind.NO_OWNER)
            try:
                return await self._forwarder.forward(session, upstream)
            except CatkinreachError as error:
                if error.outcome is not Outcome.NOT_RUN:
                    raise
        raise CatkinreachError(ErrorKind.NO_UPSTREAM)

    def _session(self, call: OrderCall) -> SessionContext:
        settings = self._state.settings
        route = settings.routes.get(call.route_id)
        if route is None:
            raise CatkinreachError(ErrorKind.ROUTE_UNKNOWN)
        return SessionContext(
            request=HttpRequest(
                method=call.method,
                target=call.target,
                headers=list(call.headers),
                body=call.body,
            ),
            request_id=call.attempt,
            accepted_at_s=time.monotonic(),
            settings=settings,
            route=route,
            service=settings.services[route.service_id],
            workspace_id=call.workspace_id or None,
            trace=TraceScope(INVALID_SPAN),
        )


def answer_from_response(response: HttpResponse) -> OrderAnswer:
    """Returns the peer message for a response.

    Raises:
        CatkinreachError: The response is too long for a peer message.
    """
    if len(response.body) > MAX_ANSWER_BYTES:
        raise CatkinreachError(
            ErrorKind.OUTCOME_UNKNOWN,
            'The order ran; its answer is too long for a peer message.',
            outcome=Outcome.RUN,
        )
    return OrderAnswer(
        status=response.status,
        headers=tuple(response.headers),
        body=response.body,
    )


def answer_from_error(error: CatkinreachError) -> OrderAnswer:
    """Returns the peer message for a refusal or failure."""
    return OrderAnswer(
        kind=error.kind.value,
        detail=error.detail,
        outcome=error.outcome.value,
        retry_after_s=error.retry_after_s,
    )


def response_from_answer(answer: OrderAnswer) -> HttpResponse:
    """Returns the response in a peer message.

    Raises:
        CatkinreachError: The message contains a refusal or failure.
    """
    if answer.kind:
        raise CatkinreachError(
            ErrorKind(answer.kind),
            answer.detail,
            outcome=Outcome(answer.outcome),
            retry_after_s=answer.retry_after_s,
        )
    return HttpResponse(
        status=answer.status, headers=list(answer.headers), body=answer.body
    )


__all__ = (
    'OrderRunner',
    'answer_from_error',
    'answer_from_response',
    'response_from_answer',
)
