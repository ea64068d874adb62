"""A connection from a client and the requests on it."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING, TypeAlias

import h11
from loguru import logger

from catkinreach_core.errors import CatkinreachError, ErrorKind
from catkinreach_core.gateway.connection_crowds import (
    ConnectionState,
    Waiting,
)

from .body_memory import BodyHold
from .connection_end import (
    ConnectionEnd,
    end_of_error,
    ignore_unanswered,
)
from .end_notes import EndNotes
from .problem import problem_response
from .request_reader import RequestReader
from .response_sender import ResponseSender

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from .body_memory import BodyMemory
    from .connection_end import UnansweredObserver
    from .messages import HttpRequest, HttpResponse
    from .server_bounds import RequestCounter, ServerBounds

LINGER_S = 1.0
"""Longest time for which a client is read that was answered before it had sent
everything."""

STOP_LINGER_S = 0.2
"""The same while the server drains, so that it stops soon, and for a connection
that makes room for another."""

MAX_LINGER_BYTES = 32 * 1024 * 1024
RequestHandler: TypeAlias = 'Callable[[HttpRequest], Awaitable[HttpResponse]]'


class HandlerError(Exception):
    """The handler of a request failed with an error of the system."""


class ServerConnection:
    """A connection from a client and the requests on it."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        serve: RequestHandler,
        read_bounds: Callable[[], ServerBounds],
        request_counter: RequestCounter,
        memory: BodyMemory,
        *,
        is_draining: Callable[[], bool],
        is_stopping: Callable[[], bool],
        on_unanswered: UnansweredObserver = ignore_unanswered,
    ) -> None:
        """Wraps an accepted connection.

        Args:
            reader: Input of the connection.
            writer: Output of the connection.
            serve: Handler of its requests.
            read_bounds: Returns the current bounds; they may change.
            request_counter: Counts the requests in flight.
            memory: Memory for the bodies of all clients.
            is_draining: Whether the connection closes when it is idle.
            is_stopping: Whether it closes after its next response.
            on_unanswered: Told of each request that gets no whole response.
        """
        self._serve = serve
        self._request_counter = request_counter
        self._is_draining = is_draining
        self._memory = memory
        self._is_answering = False
        self._ended_s: float | None = None
        self._requests = RequestReader(
            reader,
            read_bounds,
            is_draining,
            self._send_continue,
            memory,
            _client_host(writer),
        )
        self._responses = ResponseSender(
            writer, self._requests, read_bounds, is_stopping
        )
        self._ends = EndNotes(self._requests, self._responses, on_unanswered)

    @property
    def state(self) -> ConnectionState:
        """Returns what the connection waits for, and what it holds."""
        stalled_since_s = self._responses.stalled_since_s
        if stalled_since_s is not None:
            return ConnectionState(
                waiting=Waiting.CLIENT,
                since_s=stalled_since_s,
                held_bytes=self._responses.unsent_bytes,
            )
        if self._ended_s is not None:
            return ConnectionState(
                waiting=Waiting.CLIENT, since_s=self._ended_s
            )
        if self._is_answering:
            return ConnectionState(waiting=Waiting.ANSWER, since_s=0.0)
        return self._requests.state

    def give_way(self) -> None:
        """Closes the connection for another client's.

        What has arrived of a request is read before, and answered if that is
        all of it.
        """
        if self._responses.stalled_since_s is None and self._ended_s is None:
            self._requests.give_way()
            return
        self._ends.note_own(ConnectionEnd.GAVE_WAY)
        self._responses.abort()

    def close_if_idle(self) -> None:
        """Lets the connection close unless bytes of a request have arrived."""
        self._requests.apply_idle_timeout()

    def close(self) -> None:
        """Closes the socket; a response that isn't complete breaks off."""
        self._ends.note_own(ConnectionEnd.STOPPED)
        self._responses.close()

    async def run(self) -> None:
        """Serves requests until the connection closes.

        While the server drains, requests that have arrived are still served.
        """
        while await self._serve_next_request():
            if not self._requests.start_next_cycle():
                if self._requests.has_input:
                    self._ends.note(ConnectionEnd.UNSERVED)
                break
        await self._linger()

    async def refuse(self, error: CatkinreachError) -> None:
        """Answers with an error, whatever the client sends."""
        await self._responses.refuse(error)
        await self._linger()

    async def _linger(self) -> None:
        """Reads what a client sends after the last response, for a time.

        A close with unread bytes resets the connection, and the client may
        then lose the response.
        """
        self._ended_s = asyncio.get_running_loop().time()
        linger_s = STOP_LINGER_S if self._is_draining() else LINGER_S
        if self._requests.gives_way:
            linger_s = STOP_LINGER_S
        with suppress(OSError):
            if await self._end_output():
                async with asyncio.timeout(linger_s):
                    await self._requests.discard_input(MAX_LINGER_BYTES)

    async def _end_output(self) -> bool:
        is_unsent = self._responses.unsent_bytes > 0
        try:
            return await self._responses.end_output()
        except OSError as error:
            if is_unsent:
                self._ends.note(end_of_error(error))
            raise

    async def _serve_next_request(self) -> bool:
        """Reads and serves a request; returns False to close the connection."""
        try:
            request = await self._requests.read_request()
        except CatkinreachError as error:
            await self._responses.refuse(error)
            return False
        except h11.RemoteProtocolError as error:
            await self._responses.refuse(
                CatkinreachError(ErrorKind.BAD_REQUEST, str(error))
            )
            return False
        if request is None:
            if self._requests.lacks_first_request:
                self._ends.note(ConnectionEnd.NO_REQUEST)
            return False
        self._request_counter.begin()
        self._is_answering = True
        try:
            return await self._answer(request)
        finally:
            self._is_answering = False
            self._request_counter.end()
            if request.hold is not None:
                request.hold.release()

    async def _answer(self, request: HttpRequest) -> bool:
        """Answers a request; returns False to close the connection.

        A request that gets no whole response is noted.
        """
        began_s = asyncio.get_running_loop().time()
        self._responses.begin()
        end = ConnectionEnd.STOPPED
        try:
            if await self._answer_unless_disconnected(request):
                return True
            end = ConnectionEnd.CLIENT_CLOSED
        except OSError as error:
            end = end_of_error(error)
            raise
        except Exception as error:  # noqa: BLE001 - fails only the request
            logger.opt(exception=error).error(
                'unexpected error while a request was answered'
            )
            await self._responses.refuse(CatkinreachError(ErrorKind.INTERNAL))
            end = end_of_error(error)
        finally:
            if not self._responses.is_whole:
                self._ends.note(end, request, began_s)
        return False

    async def _answer_unless_disconnected(self, request: HttpRequest) -> bool:
        """Serves a request and cancels it if the client disconnects.

        Returns:
            False if the client disconnected.

        Raises:
            HandlerError: if the answer was cancelled though the client stays.
        """
        answer_task = asyncio.ensure_future(self._serve_and_send(request))
        read_ahead = BodyHold(self._memory)
        disconnect_task = asyncio.ensure_future(
            self._requests.watch_disconnect(read_ahead)
        )
        try:
            await asyncio.wait(
                {answer_task, disconnect_task},
                return_when=asyncio.FIRST_COMPLETED,
            )
            has_left = not answer_task.done() and disconnect_task.result()
            if has_left:
                answer_task.cancel()
            await asyncio.wait({answer_task})
            if not answer_task.cancelled():
                return answer_task.result()
            if has_left:
                return False
            raise HandlerError('the answer was cancelled from within')
        finally:
            answer_task.cancel()
            disconnect_task.cancel()
            read_ahead.release()
            with suppress(asyncio.CancelledError):
                await disconnect_task

    async def _serve_and_send(self, request: HttpRequest) -> bool:
        try:
            response = await self._serve(request)
        except CatkinreachError as error:
            response = problem_response(error)
        except OSError as error:
            # It isn't one of this connection: nothing was sent on it yet.
            raise HandlerError('the handler failed') from error
        await self._responses.send_response(response)
        return True

    async def _send_continue(self) -> None:
        await self._responses.send_continue()


def _client_host(writer: asyncio.StreamWriter) -> str:
    """Returns the address that a connection comes from, if it is known."""
    address = writer.get_extra_info('peername')
    return str(address[0]) if isinstance(address, tuple) else ''


__all__ = (
    'RequestHandler',
    'ServerConnection',
)
