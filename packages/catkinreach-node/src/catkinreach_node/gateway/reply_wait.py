"""Waits for the first reply to a request, at two upstreams if one is silent."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Generic, TypeVar

from .handover import SILENT_DETAIL, Handover, Send
from .send_failure import SendFailure

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from .handover import SendSource

MIN_CHECK_INTERVAL_S = 0.05

_SendT = TypeVar('_SendT', bound=Send)


class ReplyWait(Generic[_SendT]):
    """Waits for one send, and tries another upstream if it stays silent.

    The silent upstream keeps the request until the other one has replied, or
    has had the time to refuse.
    """

    def __init__(
        self,
        source: SendSource[_SendT],
        send: _SendT,
        replying: asyncio.Future[None],
        resume_after: int | None = None,
        *,
        may_run_twice: bool = False,
    ) -> None:
        """Takes over a send that was started.

        Args:
            source: Sends the request to other upstreams.
            send: Send that was started.
            replying: Ends with the reply, or with the failure of the send;
                cancelled if the send is closed.
            resume_after: Last event of a stream that the caller has.
            may_run_twice: Whether a silent upstream that gets the request anew
                may go on with the first send beside it.
        """
        self._source = source
        self._send = send
        self._replying = replying
        self._resume_after = resume_after
        self._may_run_twice = may_run_twice
        self._handover: Handover[_SendT] | None = None
        self._other: _SendT | None = None
        self._has_tried_other = False
        self._has_switched = False

    @property
    def is_replacing(self) -> bool:
        """Returns whether another upstream is being tried."""
        return self._handover is not None

    async def first_reply(
        self,
        remaining_s: float,
        wait_s: float,
        may_replace: Callable[[], bool],
    ) -> _SendT | None:
        """Returns the send that got the first reply.

        Args:
            remaining_s: Time to the deadline.
            wait_s: Time after which another upstream is considered, and again
                each time that none can be tried.
            may_replace: Whether another upstream can be tried.

        Returns:
            The send, or that to the other upstream; ``None`` if the silent
            upstream was given up and no other one has replied.

        Raises:
            ConnectError: if nothing was sent.
            ExchangeError: if the upstream disconnected.
            TimeoutError: at the deadline.
        """
        interval_s = max(wait_s, MIN_CHECK_INTERVAL_S)
        async with asyncio.timeout(remaining_s):
            while not (self._replying.done() or self._has_switched):
                if self._handover is None:
                    await self._wait_alone(interval_s, may_replace)
                else:
                    await self._wait_for_either(self._handover)
            if self._replying.cancelled() and not self._has_switched:
                return await self.other_send()
        if self._has_switched:
            return self._other
        await self._replying
        return self._send

    async def other_send(self) -> _SendT | None:
        """Returns the send to the other upstream once that has replied.

        Returns:
            ``None`` if there is no other upstream, or if it failed.
        """
        if self._handover is None:
            return None
        other = await self._handover.other_send()
        self._handover = None
        return other

    def note_failed(self) -> None:
        """Notes that the send failed; the other upstream goes on."""
        if self._handover is not None:
            self._handover.note_silent_ended()

    def close(self) -> None:
        """Ends the wait for another upstream."""
        if self._handover is not None:
            self._handover.cancel()
            self._handover = None

    async def _wait_alone(
        self, interval_s: float, may_replace: Callable[[], bool]
    ) -> None:
        """Waits for the upstream; tries another one if it stays silent."""
        await asyncio.wait({self._replying}, timeout=interval_s)
        if self._replying.done():
            return
        if may_replace():
            self._start_handover()
        elif self._has_tried_other and self._source.may_return(self._send):
            self._return_to_silent()

    def _start_handover(self) -> None:
        self._handover = Handover(
            self._source, self._send, self._resume_after, self._replying
        )

    def _return_to_silent(self) -> None:
        """Sends the request to the silent upstream anew."""
        if self._may_run_twice:
            self._start_handover()
            return
        self._source.record_lost(self._send, SendFailure.SILENT, SILENT_DETAIL)
        self._has_switched = True

    async def _wait_for_either(self, handover: Handover[_SendT]) -> None:
        """Waits for the upstream and for the one that may replace it."""
        await handover.wait_beside(self._replying)
        if not handover.is_done:
            return
        has_given_up = handover.has_given_up
        self._other = await self.other_send()
        self._has_switched = self._other is not None or has_given_up
        self._has_tried_other = True


def start_reply(replying: Coroutine[None, None, None]) -> asyncio.Future[None]:
    """Starts to wait for a reply whose failure may have nobody to see it."""
    task = asyncio.ensure_future(replying)
    task.add_done_callback(_retrieve_error)
    return task


def _retrieve_error(replying: asyncio.Future[None]) -> None:
    """Retrieves an error, so that asyncio doesn't log it."""
    if not replying.cancelled():
        replying.exception()


__all__ = ('ReplyWait', 'start_reply')
