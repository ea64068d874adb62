"""Operator actions for the whole node."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from ..http.messages import HttpRequest, HttpResponse
from ..telemetry.metrics import METRICS_TYPE

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from ..component import NodeComponent
    from .api import OperatorApi

_HTTP_OK = 200
_HTTP_ACCEPTED = 202
_HTTP_UNAVAILABLE = 503


class NodeLifecycle(Protocol):
    """The interface of the node that the lifecycle actions use."""

    @property
    def is_ready(self) -> bool:
        """Returns whether the node accepts requests."""

    def summary(self) -> Mapping[str, object]:
        """Returns the members of the status document for the whole node."""

    def exposition(self) -> str:
        """Returns the node's metrics in the Prometheus text format."""

    def drain(self) -> None:
        """Starts a graceful shutdown."""


class LifecycleActions:
    """Serves liveness, readiness, status, metrics and drain."""

    def __init__(
        self, lifecycle: NodeLifecycle, components: Sequence[NodeComponent]
    ) -> None:
        """Takes the node and its components."""
        self._lifecycle = lifecycle
        self._components = components

    def add_to(self, api: OperatorApi) -> None:
        """Registers the actions with the operator API."""
        api.add_action('GET', '/live', self._show_live, is_keyed=False)
        api.add_action('GET', '/ready', self._show_ready, is_keyed=False)
        api.add_action('GET', '/status', self._show_status)
        api.add_action('GET', '/metrics', self._show_metrics)
        api.add_action('POST', '/drain', self._start_drain)

    def _show_live(self, _: HttpRequest) -> HttpResponse:
        return HttpResponse.from_json(_HTTP_OK, {'live': True})

    def _show_ready(self, _: HttpRequest) -> HttpResponse:
        is_ready = self._lifecycle.is_ready
        return HttpResponse.from_json(
            _HTTP_OK if is_ready else _HTTP_UNAVAILABLE, {'ready': is_ready}
        )

    def _show_status(self, _: HttpRequest) -> HttpResponse:
        document = dict(self._lifecycle.summary())
        document.update(
            {
                component.name: component.status()
                for component in self._components
            }
        )
        return HttpResponse.from_json(_HTTP_OK, document)

    def _show_metrics(self, _: HttpRequest) -> HttpResponse:
        return HttpResponse(
            status=_HTTP_OK,
            headers=[('content-type', METRICS_TYPE)],
            body=self._lifecycle.exposition().encode(),
        )

    def _start_drain(self, _: HttpRequest) -> HttpResponse:
        self._lifecycle.drain()
        return HttpResponse.from_json(_HTTP_ACCEPTED, {'draining': True})


__all__ = ('LifecycleActions', 'NodeLifecycle')
