"""Serves ``/page``, the status page of the node."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import msgspec

from ..http.messages import HttpResponse
from .page import PAGE_HEADERS, render_page

if TYPE_CHECKING:
    from ..config.state import FleetState
    from ..http.messages import HttpRequest
    from .api import OperatorApi

_HTTP_OK = 200


class PageAction:
    """Renders the page from the documents of ``/status`` and ``/queue``."""

    def __init__(self, api: OperatorApi, state: FleetState) -> None:
        """Registers a listener for changes of the settings."""
        self._api = api
        self._state = state
        self._revision = state.revision
        self._accepted_at_s: float | None = None
        state.on_change(self._record_acceptance)

    def add_to(self, api: OperatorApi) -> None:
        """Registers the action with the operator API."""
        api.add_action('GET', '/page', self._show_page)

    def _show_page(self, request: HttpRequest) -> HttpResponse:
        page = render_page(
            self._document('/status', request),
            self._document('/queue', request),
            accepted_age_s=self._accepted_age_s(),
        )
        return HttpResponse(
            status=_HTTP_OK, headers=list(PAGE_HEADERS), body=page.encode()
        )

    def _document(self, path: str, request: HttpRequest) -> dict[str, object]:
        response = self._api.keyed_action('GET', path)(request)
        return msgspec.json.decode(response.body, type=dict[str, object])

    def _accepted_age_s(self) -> float | None:
        if self._accepted_at_s is None:
            return None
        return time.monotonic() - self._accepted_at_s

    def _record_acceptance(self) -> None:
        if self._state.revision != self._revision:
            self._revision = self._state.revision
            self._accepted_at_s = time.monotonic()


__all__ = ('PageAction',)
