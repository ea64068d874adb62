"""Operators' actions on the node as a whole."""

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
    """What operators may see and do with the node as a whole."""

    @property
    def is_ready(self) -> bool:
        """Tells whether the node takes requests."""

    def summary(self) -> Mapping[str, object]:
        """Returns the node's own lines of the status document."""

    def exposition(self) -> str:
        """Returns the node's metrics as text."""

    def drain(self) -> None:
        """Begins a graceful shutdown."""


class LifecycleActions:
    """Liveness, readiness, status and drain."""

    def __init__(
        self, lifecycle: NodeLifecycle, parts: Sequence[NodeComponent]
    ) -> None:
        """Keeps the node and its parts."""
        self._lifecycle = lifecycle
        self._parts = parts

    def add_to(self, api: OperatorApi) -> None:
        """Adds the actions to the operators' address."""
        api.add('GET', '/live', self._show_live, is_keyed=False)
        api.add('GET', '/ready', self._show_ready, is_keyed=False)
        api.add('GET', '/status', self._show_status)
        api.add('GET', '/metrics', self._show_metrics)
        api.add('POST', '/drain', self._start_drain)

    def _show_live(self, _: HttpRequest) -> HttpResponse:
        return HttpResponse.from_json(_HTTP_OK, {'live': True})

    def _show_ready(self, _: HttpRequest) -> HttpResponse:
        is_ready = self._lifecycle.is_ready
        return HttpResponse.from_json(
            _HTTP_OK if is_ready else _HTTP_UNAVAILABLE, {'ready': is_ready}
        )

    def _show_status(self, _: HttpRequest) -> HttpResponse:
        document = dict(self._lifecycle.summary())
        document.update({part.name: part.status() for part in self._parts})
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
