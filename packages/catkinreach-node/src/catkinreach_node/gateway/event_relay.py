"""Events on their way to the caller, over one engine or several in turn."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from catkinreach_core.errors import CatkinreachError

from ..http.client import ExchangeError
from .call import note_answered
from .decision_log import Event
from .gateway_metrics import Stage

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from catkinreach_core.gateway.events import StreamEvent

    from .call import Call
    from .engine_run import EngineRun
    from .node import Node

STALL_GAPS = 2.5
"""Pauses, in latency targets between events, that count as silence."""


class StreamSource(Protocol):
    """Opens a stream again when its engine is lost."""

    @property
    def can_resume(self) -> bool:
        """Tells whether the stream may go on at another engine."""

    def lost(self, run: EngineRun, reason: str) -> None:
        """Notes that an engine broke off or fell silent."""

    async def resume(self, last_id: int | None) -> EngineRun | None:
        """Opens the stream again after an event; ``None`` if it may not be."""


class EventRelay:
    """The body of a streamed answer."""

    def __init__(
        self, node: Node, call: Call, source: StreamSource, run: EngineRun
    ) -> None:
        """Takes over a run whose first events are there."""
        self._node = node
        self._call = call
        self._source = source
        self._run = run
        self._last_id = call.terms.resume_after
        self._first_event_s = 0.0
        self._has_failed = False

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Returns the iterator over the events' bytes."""
        return self._chunks()

    async def aclose(self) -> None:
        """Ends the stream; an engine at work drops it."""
        if not self._run.is_whole and not self._has_failed:
            self._node.log.write(
                Event.CALLER_LEFT, request=self._call.terms.request_id
            )
        self._run.close()

    async def _chunks(self) -> AsyncIterator[bytes]:
        events = self._run.first_events
        first_s = self._node.clock() - self._call.arrived_s
        self._first_event_s = round(first_s, 4)
        self._node.metrics.record(Stage.FIRST_EVENT, first_s)
        while True:
            data = self._take(events)
            if data:
                yield data
            if self._run.is_whole:
                break
            events = await self._next_events()
        if self._run.rest:
            yield self._run.rest
        self._finish()

    def _take(self, events: list[StreamEvent]) -> bytes:
        """Returns the bytes of the events that the caller doesn't have."""
        parts = []
        for event in events:
            if event.event_id is not None:
                if self._last_id is not None and (
                    event.event_id <= self._last_id
                ):
                    continue
                self._last_id = event.event_id
            parts.append(event.data)
        return b''.join(parts)

    async def _next_events(self) -> list[StreamEvent]:
        try:
            async with asyncio.timeout(self._wait_s()):
                return await self._run.next_events()
        except ExchangeError as error:
            return await self._go_on(str(error))
        except TimeoutError:
            return await self._go_on('no event in time')

    def _wait_s(self) -> float:
        left_s = self._call.deadline_s - self._node.clock()
        if not self._source.can_resume:
            return left_s
        return min(left_s, self._call.route.gap_target_s * STALL_GAPS)

    async def _go_on(self, reason: str) -> list[StreamEvent]:
        """Goes on at another engine, or breaks the answer off."""
        self._source.lost(self._run, reason)
        try:
            run = await self._source.resume(self._last_id)
        except CatkinreachError as error:
            run = None
            reason = f'{reason}; {error}'
        if run is None:
            self._has_failed = True
            self._node.log.write(
                Event.FAILED,
                request=self._call.terms.request_id,
                reason=reason,
                after_event=self._last_id,
            )
            raise ConnectionAbortedError('the stream can not go on')
        self._run = run
        self._node.log.write(
            Event.RESUMED,
            request=self._call.terms.request_id,
            upstream=run.reply.upstream.upstream_id,
            reason=reason,
            after_event=self._last_id,
        )
        return run.first_events

    def _finish(self) -> None:
        self._note_output()
        note_answered(
            self._node,
            self._call,
            self._run.reply.upstream.upstream_id,
            last_event=self._last_id,
            first_event_s=self._first_event_s,
        )

    def _note_output(self) -> None:
        """Lets the estimate learn from the tokens that were made."""
        traits = self._call.service.engine
        allowed = self._call.terms.output_tokens
        if traits is None or not allowed or self._last_id is None:
            return
        made = self._last_id * traits.event_tokens
        self._node.outputs.note_finished(made / allowed)


__all__ = ('EventRelay', 'StreamSource')
