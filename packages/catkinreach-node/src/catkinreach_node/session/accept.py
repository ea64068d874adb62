"""First stage: routes and authenticates a request, then dispatches it."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from loguru import logger

from catkinreach_core.errors import CatkinreachError, ErrorKind
from catkinreach_core.routing import find_route
from catkinreach_core.settings.fleet import RouteAccess, ServiceKind

from ..http.problem import problem_response
from ..telemetry.hop_recorder import TRACE_HEADER
from .authenticate import authenticate
from .context import SessionContext, new_request_id

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..config.state import FleetState
    from ..http.messages import HttpRequest, HttpResponse
    from ..telemetry.hop_recorder import HopRecorder, TraceScope
    from .model import ModelStage
    from .plain import PlainStage

REQUEST_ID_HEADER = 'x-request-id'
ANSWER_OK = 'ok'


class AcceptStage:
    """Serves callers' requests through the stage of their service kind.

    Every error becomes a problem response and is counted by its code.
    """

    def __init__(
        self,
        state: FleetState,
        model: ModelStage,
        plain: PlainStage,
        hops: HopRecorder,
        *,
        is_confirmed: Callable[[], bool] = lambda: True,
    ) -> None:
        """Takes the accepted settings and the stages to dispatch to.

        ``is_confirmed`` returns whether the settings are recent enough to
        authenticate API keys with.
        """
        self._state = state
        self._model = model
        self._plain = plain
        self._hops = hops
        self._is_confirmed = is_confirmed

    async def serve(self, request: HttpRequest) -> HttpResponse:
        """Serves a caller's request and returns its response."""
        metrics = self._hops.metrics
        try:
            with self._hops.measure_root(request.header(TRACE_HEADER)) as scope:
                response = await self._serve_session(
                    self._open_session(request, scope)
                )
        except CatkinreachError as error:
            response = problem_response(error)
            metrics.count_answer(response.status, error.kind.value)
        except Exception:  # noqa: BLE001 - the caller gets INTERNAL for any fault
            logger.exception('accept: unhandled error in a stage.')
            response = problem_response(CatkinreachError(ErrorKind.INTERNAL))
            metrics.count_answer(response.status, ErrorKind.INTERNAL.value)
        else:
            metrics.count_answer(response.status, ANSWER_OK)
        return response

    def _open_session(
        self, request: HttpRequest, scope: TraceScope
    ) -> SessionContext:
        settings = self._state.settings
        route = find_route(settings, request.method, request.target)
        if route.access is RouteAccess.KEYED and not self._is_confirmed():
            raise CatkinreachError(ErrorKind.CONFIG_STALE)
        request.label.request_id = request_id = new_request_id()
        return SessionContext(
            request=request,
            request_id=request_id,
            accepted_at_s=time.monotonic(),
            settings=settings,
            route=route,
            service=settings.services[route.service_id],
            workspace_id=authenticate(request, route, self._state.keys),
            trace=scope,
        )

    async def _serve_session(self, session: SessionContext) -> HttpResponse:
        if session.service.kind is ServiceKind.MODEL:
            response = await self._model.serve(session)
        else:
            response = await self._plain.serve(session)
        response.headers.append((REQUEST_ID_HEADER, session.request_id))
        if session.trace.traceparent:
            response.headers.append((TRACE_HEADER, session.trace.traceparent))
        return response


__all__ = ('AcceptStage',)
