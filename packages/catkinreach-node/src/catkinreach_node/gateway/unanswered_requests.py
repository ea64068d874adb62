"""Logs and counts the requests that get no whole response."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .decision_log import Event

if TYPE_CHECKING:
    from ..http.connection_end import UnansweredRequest
    from .node import Node


class UnansweredRequests:
    """The requests of one server whose connections ended too soon."""

    def __init__(self, node: Node, server: str) -> None:
        """Prepares the notes.

        Args:
            node: State of the process.
            server: Name of the server.
        """
        self._node = node
        self._server = server

    def note(self, unanswered: UnansweredRequest) -> None:
        """Logs and counts a request."""
        node = self._node
        request = unanswered.request
        request_id = None
        if request is not None:
            request_id = node.dialect.read_request(request).request_id
        catalog = node.view.catalog
        node.metrics.count_unanswered(unanswered.end.value)
        node.log.write(
            Event.UNANSWERED,
            request=request_id,
            code=unanswered.end.value,
            server=self._server,
            has_begun=unanswered.has_begun,
            after_s=round(unanswered.waited_s, 4),
            stopping=node.shutdown.is_begun,
            version=catalog and catalog.version,
        )


__all__ = ('UnansweredRequests',)
