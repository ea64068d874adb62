"""A stream at one engine: its connection, reserved memory and events."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from catkinreach_core.gateway.events import EventSplitter, EventTooLongError
from catkinreach_core.gateway.load_table import UpstreamLoad

from ..http.connection import ExchangeError
from .exchange import ignore_sending
from .reply_wait import start_reply

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinreach_core.gateway.event_numbering import EventNumbering
    from catkinreach_core.gateway.events import StreamEvent
    from catkinreach_core.gateway.metadata import KvHandle
    from catkinreach_core.gateway.placement import StreamNeed
    from catkinreach_core.gateway.upstream import Upstream

    from .admitted_request import AdmittedRequest
    from .exchange import Reply
    from .node import Node


STARTED_S = 0.5
"""Time after its first event from which a stream has started: a crash of its
engine is then no longer ascribed to it."""

MAX_UNNUMBERED_EVENTS = 16
"""Events without a number that may come first in a resumed stream."""


class EngineStream:
    """Runs a stream at one engine.

    Until it is closed it owns the connection, and its memory counts towards the
    engine's load.

    Attributes:
        source: KV cache to start from, if another engine prefilled the prompt.
        first_events: Events that had arrived when the stream was opened.
        is_complete: Whether the engine has sent the whole reply.
        body: Body of a reply that isn't a stream; empty for a refusal.
    """

    def __init__(
        self,
        node: Node,
        admitted: AdmittedRequest,
        upstream: Upstream,
        need: StreamNeed,
        numbering: EventNumbering,
        *,
        prefills_prompt: bool,
    ) -> None:
        """Reserves the memory; nothing is sent yet.

        Args:
            node: State of the gateway process.
            admitted: Request to serve.
            upstream: Engine that runs the stream.
            need: Memory and prefill work of the stream.
            numbering: Numbers of the events that the caller has.
            prefills_prompt: Whether the engine also prefills the prompt.
        """
        self._node = node
        self._admitted = admitted
        self._upstream = upstream
        self._numbering = numbering
        self.source: KvHandle | None = None
        self._reply: Reply | None = None
        self._splitter = EventSplitter()
        self._is_closed = False
        self._opening: asyncio.Future[None] | None = None
        self._ending: asyncio.Future[None] | None = None
        self._prefill_load = UpstreamLoad(
            prefill_tokens=need.prompt_tokens if prefills_prompt else 0
        )
        self._decode_load = UpstreamLoad(
            running=1, memory_tokens=need.memory_tokens
        )
        self._first_event_at_s = math.inf
        self._last_event_at_s = 0.0
        self._has_started = False
        self.first_events: list[StreamEvent] = []
        self.is_complete = False
        self.body = b''
        self._has_connection = False
        node.begin_work(upstream.upstream_id, self._decode_load)
        node.begin_work(upstream.upstream_id, self._prefill_load)

    @property
    def upstream(self) -> Upstream:
        """Returns the engine."""
        return self._upstream

    @property
    def reply(self) -> Reply:
        """Returns the head of the reply; valid after ``open``."""
        assert self._reply is not None  # noqa: S101 - narrows the type
        return self._reply

    @property
    def has_started(self) -> bool:
        """Returns whether the engine has sent events for a while."""
        return self._last_event_at_s - self._first_event_at_s >= STARTED_S

    def start(
        self,
        resume_after: int | None,
        on_sending: Callable[[], None] = ignore_sending,
    ) -> asyncio.Future[None]:
        """Sends the request; returns the wait for its first event or a failure.

        Args:
            resume_after: Last event that the caller has.
            on_sending: Called once there is a connection.

        The wait ends with a ``ConnectError`` if nothing was sent, and with an
        ``ExchangeError`` if the request may have run. It is cancelled if the
        stream is closed.
        """
        self._opening = start_reply(self._open(resume_after, on_sending))
        return self._opening

    async def _open(
        self, resume_after: int | None, on_sending: Callable[[], None]
    ) -> None:
        admitted = self._admitted
        metadata = admitted.forward_metadata(
            self._upstream,
            self._node.clock(),
            source=self.source,
            resume_after=resume_after,
        )
        self._reply = await self._node.paths.exchange(
            self._upstream,
            self._node.dialect.upstream_request(admitted.request, metadata),
            admitted.metadata.request_id,
            on_sending,
        )
        self._has_connection = True
        if self._reply.is_event_stream:
            while not self.first_events and not self.is_complete:
                self.first_events = await self.next_events()
            if resume_after not in {None, admitted.metadata.resume_after}:
                await self._check_goes_on(resume_after)
        else:
            await self._read_whole(self._reply)
        self._end_prefill()

    async def _check_goes_on(self, resume_after: int | None) -> None:
        """Checks that a stream which the node resumes goes on where it ended.

        Only a stream that says that it is one may be without events: all had
        been sent before.

        Raises:
            ExchangeError: if it doesn't.
        """
        first_id = _first_id(self.first_events)
        while first_id is None and not self.is_complete:
            if len(self.first_events) >= MAX_UNNUMBERED_EVENTS:
                break
            self.first_events += await self.next_events()
            first_id = _first_id(self.first_events)
        if first_id is None and not self.first_events:
            if self.reply.is_declared_stream:
                return
            raise ExchangeError('the resumed stream is empty')
        if (
            resume_after is None
            or first_id is None
            or not self._numbering.goes_on_at(first_id, resume_after)
        ):
            raise ExchangeError(
                f'the resumed stream goes on with event {first_id}'
            )

    async def next_events(self) -> list[StreamEvent]:
        """Returns the events completed by the next bytes.

        If the call is cancelled while it checks the end, the next one goes on.

        Raises:
            ExchangeError: if the connection is lost, an event too long, or
                the body ends inside an event.
        """
        if self._ending is not None:
            await self._finish(self._ending)
            return []
        data, is_last = await self.reply.next_data()
        if self._is_closed:
            # The end of the data is that of this node's own connection.
            raise ExchangeError('the stream was closed')
        try:
            events = self._splitter.feed(data)
        except EventTooLongError as error:
            raise ExchangeError(str(error)) from error
        if events:
            self._note_events()
        if is_last:
            await self._end(has_new_events=bool(events))
        return events

    async def _end(self, *, has_new_events: bool) -> None:
        """Ends the stream; new events must not wait for the check of the end.

        Raises:
            ExchangeError: if the reply isn't complete.
        """
        self._check_rest()
        if not self.reply.ends_with_connection:
            self._complete()
            return
        self._ending = start_reply(self.reply.check_end())
        if not has_new_events:
            await self._finish(self._ending)

    async def _finish(self, ending: asyncio.Future[None]) -> None:
        """Waits for the check of the end, which goes on without this wait.

        Raises:
            ExchangeError: if the reply isn't complete.
        """
        await asyncio.wait({ending})
        if ending.cancelled():
            raise ExchangeError('the stream was closed')
        ending.result()
        self._complete()

    def _complete(self) -> None:
        self._clear_suspects()
        self.is_complete = True

    def _check_rest(self) -> None:
        """Checks that the reply ended after a whole event.

        Raises:
            ExchangeError: if it didn't.
        """
        if self._splitter.rest:
            raise ExchangeError('stream ended inside an event')
        has_events = not math.isinf(self._first_event_at_s)
        if self.reply.ends_with_connection and not has_events:
            raise ExchangeError('connection ended before the first event')

    def _note_events(self) -> None:
        """Clears the request of earlier crashes once its stream has started."""
        now_s = self._node.clock()
        self._first_event_at_s = min(self._first_event_at_s, now_s)
        self._last_event_at_s = now_s
        if self.has_started and not self._has_started:
            self._has_started = True
            self._clear_suspects()

    def _clear_suspects(self) -> None:
        now_s = self._node.clock()
        self._node.crash_suspects.clear(
            self._admitted.suspect_keys,
            min(self._first_event_at_s, now_s),
            now_s,
        )

    async def _read_whole(self, reply: Reply) -> None:
        """Reads a reply that isn't an event stream.

        Raises:
            ExchangeError: if the connection is lost.
        """
        self._has_connection = False
        if reply.metadata.has_not_run:
            await reply.skip_refusal()
        else:
            self.body = await reply.read_all()

    def withdraw(self) -> bool:
        """Ends the stream unless its first events, or a failure, have come."""
        is_open = self._opening is None or not self._opening.done()
        if is_open:
            self.close()
        return is_open

    def close(self) -> None:
        """Ends the stream; an incomplete reply closes its connection."""
        if self._is_closed:
            return
        self._is_closed = True
        if self._opening is not None:
            self._opening.cancel()
        if self._ending is not None:
            self._ending.cancel()
        self._end_prefill()
        self._node.end_work(self._upstream.upstream_id, self._decode_load)
        if self._reply is None or not self._has_connection:
            return
        if self.is_complete:
            self._reply.release()
        else:
            self._reply.abort()

    def _end_prefill(self) -> None:
        prefill_load, self._prefill_load = self._prefill_load, UpstreamLoad()
        if not prefill_load.is_idle:
            self._node.end_work(self._upstream.upstream_id, prefill_load)


def _first_id(events: list[StreamEvent]) -> int | None:
    """Returns the first number of an event, if any event has one."""
    numbers = (event.event_id for event in events)
    return next((one for one in numbers if one is not None), None)


__all__ = ('EngineStream',)
