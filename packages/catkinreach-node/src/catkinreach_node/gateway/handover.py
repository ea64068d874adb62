"""Keeps a silent engine's stream while another engine is tried."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager, contextmanager
from typing import TYPE_CHECKING, Protocol

from catkinreach_core.errors import CatkinreachError

from .admitted_request import SendFailure

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterator

    from catkinreach_core.gateway.upstream import Upstream

    from .engine_stream import EngineStream

OVERLAP_S = 0.25
"""Time that another engine has to refuse a request before the silent engine's
stream is closed; two engines may run it at once for 0.4 s."""

SILENT_DETAIL = 'no event in time'


class StreamSource(Protocol):
    """Reopens a stream at another engine when its engine is lost."""

    @property
    def can_replace(self) -> bool:
        """Returns whether another engine may replace a silent one."""

    def record_lost_engine(
        self, stream: EngineStream, failure: SendFailure, detail: str
    ) -> None:
        """Records that an engine disconnected or sends no events."""

    async def resume(
        self, last_id: int | None, handover: Handover | None = None
    ) -> EngineStream | None:
        """Reopens the stream after an event; ``None`` if that isn't allowed.

        Args:
            last_id: Last event that the caller has.
            handover: Handover from a silent engine; ``None`` if the engine is
                lost.
        """


class Handover:
    """Opens a stream at another engine beside that of a silent one.

    The silent engine's stream is closed when the other engine sends events, or
    doesn't refuse the request soon after it was sent. Otherwise it stays open.
    """

    def __init__(
        self, source: StreamSource, stream: EngineStream, last_id: int | None
    ) -> None:
        """Starts to look for another engine."""
        self._source = source
        self._stream = stream
        self._is_cancelled = False
        self._has_given_up = False
        self.detail = 'no other engine'
        self._opening = asyncio.ensure_future(source.resume(last_id, self))
        self._opening.add_done_callback(self._close_unused)

    @property
    def silent_upstream(self) -> Upstream:
        """Returns the silent engine."""
        return self._stream.reply.upstream

    @property
    def has_given_up(self) -> bool:
        """Returns whether the silent engine's stream was closed."""
        return self._has_given_up

    @property
    def is_done(self) -> bool:
        """Returns whether another engine goes on, or none can."""
        return self._opening.done()

    @contextmanager
    def overlap(self) -> Iterator[None]:
        """Limits how long the silent engine runs beside a send."""
        timer = asyncio.get_running_loop().call_later(OVERLAP_S, self.give_up)
        try:
            yield
        finally:
            timer.cancel()

    def give_up(
        self,
        failure: SendFailure = SendFailure.SILENT,
        detail: str = SILENT_DETAIL,
    ) -> None:
        """Closes the silent engine's stream, unless that is done."""
        if not self._has_given_up:
            self._has_given_up = True
            self._source.record_lost_engine(self._stream, failure, detail)

    @asynccontextmanager
    async def interrupt_when_done(
        self, timeout_s: float
    ) -> AsyncIterator[None]:
        """Ends a wait for the silent engine once the handover is done.

        Raises:
            TimeoutError: if the handover is done, or the time is over.
        """
        loop = asyncio.get_running_loop()
        is_waiting = True

        def interrupt(_: object) -> None:
            if is_waiting and not wait.expired():
                wait.reschedule(loop.time())

        async with asyncio.timeout(timeout_s) as wait:
            self._opening.add_done_callback(interrupt)
            try:
                yield
            finally:
                is_waiting = False
                self._opening.remove_done_callback(interrupt)

    async def other_stream(self) -> EngineStream | None:
        """Returns the stream at another engine; ``None`` if none runs it."""
        try:
            return await self._opening
        except CatkinreachError as error:
            self.detail = str(error)
        return None

    def cancel(self) -> None:
        """Stops; a stream that another engine has begun is closed."""
        self._is_cancelled = True
        if not self._opening.cancel():
            self._close_unused(self._opening)

    def _close_unused(
        self, opening: asyncio.Future[EngineStream | None]
    ) -> None:
        if not self._is_cancelled or opening.cancelled():
            return
        stream = None if opening.exception() else opening.result()
        if stream is not None:
            stream.close()


__all__ = ('SILENT_DETAIL', 'Handover', 'StreamSource')
