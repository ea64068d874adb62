"""Tells how one connection ended without a whole response."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from .connection_end import UnansweredRequest

if TYPE_CHECKING:
    from .connection_end import ConnectionEnd, UnansweredObserver
    from .messages import HttpRequest
    from .request_reader import RequestReader
    from .response_sender import ResponseSender


class EndNotes:
    """Notes the requests of a connection that get no whole response."""

    def __init__(
        self,
        requests: RequestReader,
        responses: ResponseSender,
        on_unanswered: UnansweredObserver,
    ) -> None:
        """Starts without a note.

        Args:
            requests: Requests of the connection.
            responses: Its responses.
            on_unanswered: Told of each such request.
        """
        self._requests = requests
        self._responses = responses
        self._on_unanswered = on_unanswered
        self._own_end: ConnectionEnd | None = None

    def note_own(self, end: ConnectionEnd) -> None:
        """Notes that this side closes the connection; the first reason holds.

        What fails on the connection afterwards is due to that.
        """
        self._own_end = self._own_end or end

    def note(
        self,
        end: ConnectionEnd,
        request: HttpRequest | None = None,
        began_s: float | None = None,
    ) -> None:
        """Tells of a request that gets no whole response.

        Args:
            end: Why, unless this side has closed the connection.
            request: The request, if it was read.
            began_s: Time of the event loop at which it was read.
        """
        if began_s is None:
            began_s = self._requests.waiting_since_s
        self._on_unanswered(
            UnansweredRequest(
                end=self._own_end or end,
                request=request,
                waited_s=asyncio.get_running_loop().time() - began_s,
                has_begun=self._responses.has_begun,
            )
        )


__all__ = ('EndNotes',)
