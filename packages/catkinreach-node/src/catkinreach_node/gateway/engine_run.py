"""A stream at one engine: its connection, memory and events."""

from __future__ import annotations

from typing import TYPE_CHECKING

from catkinreach_core.gateway.events import EventCutter
from catkinreach_core.gateway.load_table import UpstreamLoad

from .exchange import Reply, exchange

if TYPE_CHECKING:
    from catkinreach_core.gateway.events import StreamEvent
    from catkinreach_core.gateway.placement import StreamNeed
    from catkinreach_core.gateway.terms import KvHandle
    from catkinreach_core.gateway.upstream import Upstream

    from .call import Call
    from .node import Node


class EngineRun:
    """Holds an engine's connection and counts its memory until closed."""

    def __init__(
        self,
        node: Node,
        call: Call,
        upstream: Upstream,
        need: StreamNeed,
        *,
        reads_prompt: bool,
    ) -> None:
        """Sets the memory aside; nothing is sent yet.

        Args:
            node: The node's beliefs.
            call: The call to serve.
            upstream: The engine.
            need: What the stream needs there.
            reads_prompt: Whether the engine reads the prompt itself.
        """
        self._node = node
        self._call = call
        self._upstream = upstream
        self.source: KvHandle | None = None
        self._reply: Reply | None = None
        self._cutter = EventCutter()
        self._is_closed = False
        self._waiting = UpstreamLoad(
            prefill_tokens=need.prompt_tokens if reads_prompt else 0
        )
        self._held = UpstreamLoad(running=1, memory_tokens=need.memory_tokens)
        self.first_events: list[StreamEvent] = []
        self.is_whole = False
        node.begin_work(upstream.upstream_id, self._held)
        node.begin_work(upstream.upstream_id, self._waiting)

    @property
    def reply(self) -> Reply:
        """Returns the head of the reply; only after ``open``."""
        assert self._reply is not None  # noqa: S101 - narrows the type
        return self._reply

    @property
    def rest(self) -> bytes:
        """Returns the bytes after the last whole event."""
        return self._cutter.rest

    async def open(self, resume_after: int | None) -> None:
        """Sends the request and waits for the first event or a failure.

        Raises:
            ConnectError: nothing was sent.
            ExchangeError: the request may have run.
        """
        call = self._call
        send = call.send_terms(
            self._upstream,
            self._node.clock(),
            source=self.source,
            resume_after=resume_after,
        )
        self._reply = await exchange(
            self._node,
            self._upstream,
            self._node.dialect.run_request(call.request, send),
            call.terms.request_id,
        )
        if self._reply.is_success:
            while not self.first_events and not self.is_whole:
                self.first_events = await self.next_events()
        self._end_waiting()

    async def next_events(self) -> list[StreamEvent]:
        """Returns the events that the next bytes complete.

        Raises:
            ExchangeError: if the stream breaks off.
        """
        data, self.is_whole = await self.reply.next_data()
        return self._cutter.feed(data)

    async def read_failure(self) -> bytes:
        """Returns the body of a reply that is no stream.

        Raises:
            ExchangeError: if the body breaks off.
        """
        reply = self.reply
        self._reply = None
        try:
            return await reply.read_all()
        finally:
            self.close()

    def close(self) -> None:
        """Ends the run; a connection in the middle of a reply is closed."""
        if self._is_closed:
            return
        self._is_closed = True
        self._end_waiting()
        self._node.end_work(self._upstream.upstream_id, self._held)
        if self._reply is None:
            return
        if self.is_whole:
            self._reply.give_back()
        else:
            self._reply.abort()

    def _end_waiting(self) -> None:
        waiting, self._waiting = self._waiting, UpstreamLoad()
        if not waiting.is_idle:
            self._node.end_work(self._upstream.upstream_id, waiting)


__all__ = ('EngineRun',)
