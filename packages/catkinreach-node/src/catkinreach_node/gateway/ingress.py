"""Admits callers' requests and passes them to a handler."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from loguru import logger

from catkinreach_core.errors import (
    ERROR_RESPONSES,
    CatkinreachError,
    ErrorKind,
    Outcome,
)
from catkinreach_core.gateway.catalog import RouteKind

from ..http.connection import ExchangeError
from ..http.problem import problem_response
from .admitted_request import AdmittedRequest
from .decision_log import Event
from .outcomes import refusal
from .plain_handler import PlainHandler
from .stream_handler import StreamHandler
from .suspect_keys import refuse_if_quarantined, suspect_keys

if TYPE_CHECKING:
    from catkinreach_core.gateway.catalog import (
        Catalog,
        Route,
        ServiceTraits,
        WorkspacePolicy,
    )
    from catkinreach_core.gateway.metadata import RequestMetadata

    from ..http.messages import HttpRequest, HttpResponse
    from .node import Node

DEFAULT_DEADLINE_S = 30.0
TIMEOUT_MARGIN_S = 0.02
"""The node answers this long before the route's timeout expires."""


class Ingress:
    """Admits requests, runs their handlers and returns error responses."""

    def __init__(self, node: Node) -> None:
        """Prepares the ingress of one gateway process."""
        self._node = node

    async def serve(self, request: HttpRequest) -> HttpResponse:
        """Returns the response to a request."""
        arrived_s = self._node.clock()
        metadata = self._node.dialect.read_request(request)
        try:
            response = await self._serve(request, metadata, arrived_s)
            self._node.metrics.count_answer(response.status, 'ok')
        except CatkinreachError as error:
            response = self._error_response(metadata, error, arrived_s)
        except ExchangeError as error:
            failure = CatkinreachError(ErrorKind.UPSTREAM_FAILED, str(error))
            response = self._error_response(metadata, failure, arrived_s)
        except Exception as error:  # noqa: BLE001 - fails only the request
            logger.opt(exception=error).error(
                'unexpected error while a request was served'
            )
            failure = CatkinreachError(ErrorKind.INTERNAL)
            response = self._error_response(metadata, failure, arrived_s)
        return response

    async def _serve(
        self, request: HttpRequest, metadata: RequestMetadata, arrived_s: float
    ) -> HttpResponse:
        admitted = await self._admit(request, metadata, arrived_s)
        self._node.retry_budget.record_request(
            admitted.service.service_id, arrived_s
        )
        handler = self._make_handler(admitted)
        try:
            return await self._run_until_stopped(handler)
        except CatkinreachError as error:
            if error.outcome is Outcome.NOT_RUN:
                self._refund(admitted)
            raise
        except asyncio.CancelledError:
            if not handler.may_run:
                self._refund(admitted)
            raise

    async def _run_until_stopped(
        self, handler: StreamHandler | PlainHandler
    ) -> HttpResponse:
        """Returns the handler's response, unless the process ends first.

        Raises:
            CatkinreachError: if it can't be served.
        """
        try:
            async with self._node.shutdown.limit.applied() as limit:
                return await handler.run()
        except TimeoutError as error:
            if not limit.expired():
                raise
            if handler.may_run:
                raise CatkinreachError(ErrorKind.UPSTREAM_TIMEOUT) from error
            raise self._draining() from error

    def _draining(self) -> CatkinreachError:
        """Returns the refusal of a request that can't end before the stop."""
        return refusal(
            self._node,
            ErrorKind.DRAINING,
            min_delay_s=self._node.shutdown.retry_delay_s,
        )

    def _make_handler(
        self, admitted: AdmittedRequest
    ) -> StreamHandler | PlainHandler:
        traits = admitted.service.engine
        if admitted.route.kind is RouteKind.STREAM and traits is not None:
            return StreamHandler(self._node, admitted, traits)
        return PlainHandler(self._node, admitted)

    def _refund(self, admitted: AdmittedRequest) -> None:
        """Refunds the cost of a request that did not run."""
        if admitted.workspace is not None:
            self._node.quota.refund(
                admitted.workspace.workspace_id,
                _cost(admitted.workspace, admitted.metadata),
                self._node.clock(),
            )

    async def _admit(
        self, request: HttpRequest, metadata: RequestMetadata, arrived_s: float
    ) -> AdmittedRequest:
        if metadata.out_of_range:
            raise CatkinreachError(
                ErrorKind.BAD_REQUEST,
                f'the number in {metadata.out_of_range} is out of range',
            )
        catalog = self._node.view.catalog
        if catalog is None or not self._node.view.is_complete:
            raise refusal(self._node, ErrorKind.CONFIG_MISSING)
        host = metadata.host.partition(':')[0]
        route = catalog.match_route(host, request.path)
        if route is None:
            raise CatkinreachError(ErrorKind.ROUTE_UNKNOWN)
        if route.kind is RouteKind.STREAM and (
            arrived_s > self._node.shutdown.streams_until_s
        ):
            raise self._draining()
        workspace = _workspace(catalog, route, metadata)
        service_id = route.choose_service(self._node.rng)
        keys = suspect_keys(request, metadata)
        refuse_if_quarantined(self._node, keys, begins_run=False)
        await self._node.load_queries.refresh(
            service_id, None if workspace is None else workspace.workspace_id
        )
        if workspace is not None:
            self._charge(
                workspace, catalog.services[service_id], metadata, arrived_s
            )
        return AdmittedRequest(
            request=request,
            metadata=metadata,
            route=route,
            service=catalog.services[service_id],
            workspace=workspace,
            suspect_keys=keys,
            arrived_s=arrived_s,
            deadline_s=min(
                arrived_s + _timeout_s(route, metadata),
                self._node.shutdown.answer_until_s,
            ),
            version=catalog.version,
        )

    def _charge(
        self,
        workspace: WorkspacePolicy,
        service: ServiceTraits,
        metadata: RequestMetadata,
        now_s: float,
    ) -> None:
        node = self._node
        peers = node.totals.peer_costs(workspace.workspace_id)
        retry_after_s = node.quota.admit(
            workspace,
            _cost(workspace, metadata),
            peers=peers,
            has_capacity=lambda: node.has_capacity(service),
            now_s=now_s,
        )
        if retry_after_s is not None:
            own_cost = node.quota.own_count(workspace.workspace_id, now_s)
            raise refusal(
                node,
                ErrorKind.RATE_LIMITED,
                min_delay_s=retry_after_s,
                detail=f'workspace {workspace.workspace_id}: {own_cost:.0f}'
                f' admitted by this node and {peers.cost:.0f} by peers in the'
                f' window, {peers.silent} peers silent',
            )
        if service.engine is not None:
            # Streams cost too much to wait for the next full message.
            node.load_changed.set()

    def _error_response(
        self,
        metadata: RequestMetadata,
        error: CatkinreachError,
        arrived_s: float,
    ) -> HttpResponse:
        now_s = self._node.clock()
        catalog = self._node.view.catalog
        self._node.log.write(
            Event.REFUSED,
            request=metadata.request_id,
            code=error.kind.value,
            status=ERROR_RESPONSES[error.kind].status,
            outcome=error.outcome.value,
            detail=error.detail,
            version=catalog and catalog.version,
            after_s=round(now_s - arrived_s, 4),
        )
        self._node.metrics.count_answer(
            ERROR_RESPONSES[error.kind].status, error.kind.value
        )
        return problem_response(error, '{:.3f}'.format)


def _workspace(
    catalog: Catalog, route: Route, metadata: RequestMetadata
) -> WorkspacePolicy | None:
    """Returns the workspace of the API key; ``None`` on public routes."""
    if route.is_public or not catalog.has_workspaces:
        return None
    if metadata.key is None:
        raise CatkinreachError(ErrorKind.KEY_MISSING)
    workspace = catalog.workspaces.get(metadata.key)
    if workspace is None:
        raise CatkinreachError(ErrorKind.KEY_REFUSED)
    return workspace


def _cost(workspace: WorkspacePolicy, metadata: RequestMetadata) -> float:
    """Returns the cost of a request under its workspace's limit."""
    if not workspace.counts_tokens:
        return 1.0
    if metadata.prompt_tokens is None:
        return workspace.plain_cost
    return metadata.total_tokens


def _timeout_s(route: Route, metadata: RequestMetadata) -> float:
    timeout_s = metadata.deadline_s
    if timeout_s is None:
        timeout_s = DEFAULT_DEADLINE_S
    if route.timeout_s > 0:
        timeout_s = min(timeout_s, route.timeout_s - TIMEOUT_MARGIN_S)
    return timeout_s


__all__ = ('Ingress',)
