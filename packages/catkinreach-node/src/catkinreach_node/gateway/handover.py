"""Keeps what a silent upstream runs while another upstream is tried."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager, contextmanager
from typing import TYPE_CHECKING, Any, Generic, Protocol, TypeVar

from catkinreach_core.errors import CatkinreachError

from .send_failure import SendFailure

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Iterator

    from catkinreach_core.gateway.upstream import Upstream

OVERLAP_S = 0.25
"""Time that another upstream has to refuse a request before the silent one's
send is closed; two engines may run a stream at once for 0.4 s."""

SILENT_DETAIL = 'no event in time'


class Send(Protocol):
    """A request at one upstream."""

    @property
    def upstream(self) -> Upstream:
        """Returns the upstream."""

    def close(self) -> None:
        """Ends the send; one that isn't complete closes its connection."""


_SendT = TypeVar('_SendT', bound=Send)


class SendSource(Protocol[_SendT]):
    """Sends a request to another upstream when its upstream is lost."""

    @property
    def can_replace(self) -> bool:
        """Returns whether another upstream may replace a silent one."""

    def may_return(self, send: _SendT) -> bool:
        """Returns whether a silent upstream may get the request anew.

        Its connection may be what is silent.
        """

    def record_lost(
        self, send: _SendT, failure: SendFailure, detail: str
    ) -> None:
        """Closes the send of an upstream that disconnected or is silent."""

    async def resume(
        self, last_id: int | None, handover: Handover[_SendT] | None = None
    ) -> _SendT | None:
        """Sends the request to another upstream; ``None`` if it may not.

        Args:
            last_id: Last event of a stream that the caller has.
            handover: Handover from a silent upstream; ``None`` if the upstream
                is lost.
        """


class Handover(Generic[_SendT]):
    """Sends a request to another upstream beside that of a silent one.

    The silent upstream's send is closed when the other upstream replies, or
    doesn't refuse the request soon after it was sent. Otherwise it stays open.
    """

    def __init__(
        self,
        source: SendSource[_SendT],
        send: _SendT,
        last_id: int | None,
        replying: asyncio.Future[None] | None = None,
    ) -> None:
        """Starts to look for another upstream.

        Args:
            source: Sends the request to the other upstream.
            send: Send to the silent upstream.
            last_id: Last event of a stream that the caller has.
            replying: Ends with the silent upstream's first reply, which its
                send is then kept for; ``None`` if that came before.
        """
        self._source = source
        self._send = send
        self._replying = replying
        self._is_cancelled = False
        self._has_given_up = False
        self.detail = 'no other upstream'
        self._resuming = asyncio.ensure_future(source.resume(last_id, self))
        self._resuming.add_done_callback(self._close_unused)

    @property
    def silent_upstream(self) -> Upstream:
        """Returns the silent upstream."""
        return self._send.upstream

    @property
    def has_given_up(self) -> bool:
        """Returns whether the silent upstream's send has ended."""
        return self._has_given_up

    @property
    def is_done(self) -> bool:
        """Returns whether another upstream goes on, or none can."""
        return self._resuming.done()

    @contextmanager
    def overlap(
        self, may_give_up: Callable[[], bool], withdraw: Callable[[], None]
    ) -> Iterator[Callable[[], None]]:
        """Limits how long two upstreams have the request.

        At the end of that time the silent one's send is closed, or the other
        one's if the request couldn't return from there.

        Args:
            may_give_up: Whether the silent one's is closed.
            withdraw: Closes the other one's.

        Yields:
            What the send calls when it has a connection. Until then the silent
            upstream is the only one that has the request.
        """
        timers: list[asyncio.TimerHandle] = []

        def end() -> None:
            if may_give_up():
                self.give_up()
            else:
                withdraw()

        def begin() -> None:
            loop = asyncio.get_running_loop()
            timers.append(loop.call_later(OVERLAP_S, end))

        try:
            yield begin
        finally:
            for timer in timers:
                timer.cancel()

    def give_up(
        self,
        failure: SendFailure = SendFailure.SILENT,
        detail: str = SILENT_DETAIL,
    ) -> None:
        """Closes the silent upstream's send, unless it replied or ended."""
        has_replied = self._replying is not None and self._replying.done()
        if not (self._has_given_up or has_replied):
            self._has_given_up = True
            self._source.record_lost(self._send, failure, detail)

    def note_silent_ended(self) -> None:
        """Notes that the silent upstream's send has ended by itself."""
        self._has_given_up = True

    @asynccontextmanager
    async def interrupt_when_done(
        self, timeout_s: float
    ) -> AsyncIterator[None]:
        """Ends a wait for the silent upstream once the handover is done.

        Raises:
            TimeoutError: if the handover is done, or the time is over.
        """
        loop = asyncio.get_running_loop()
        is_waiting = True

        def interrupt(_: object) -> None:
            if is_waiting and not wait.expired():
                wait.reschedule(loop.time())

        async with asyncio.timeout(timeout_s) as wait:
            self._resuming.add_done_callback(interrupt)
            try:
                yield
            finally:
                is_waiting = False
                self._resuming.remove_done_callback(interrupt)

    async def wait_beside(self, replying: asyncio.Future[None]) -> None:
        """Waits until the silent upstream replies, or the handover is done."""
        waits: set[asyncio.Future[Any]] = {replying, self._resuming}
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)

    async def other_send(self) -> _SendT | None:
        """Returns the send to another upstream; ``None`` if none runs it."""
        try:
            return await self._resuming
        except CatkinreachError as error:
            self.detail = str(error)
        return None

    def cancel(self) -> None:
        """Stops; a send that another upstream has begun is closed."""
        self._is_cancelled = True
        if not self._resuming.cancel():
            self._close_unused(self._resuming)

    def _close_unused(self, resuming: asyncio.Future[_SendT | None]) -> None:
        if not self._is_cancelled or resuming.cancelled():
            return
        send = None if resuming.exception() else resuming.result()
        if send is not None:
            send.close()


__all__ = ('SILENT_DETAIL', 'Handover', 'Send', 'SendSource')
