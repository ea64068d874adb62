"""Relays a stream's events to the caller, across engines if one is lost."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NoReturn

from catkinreach_core.errors import CatkinreachError

from ..http.connection import ExchangeError
from .decision_log import Event
from .gateway_metrics import RequestStage
from .handover import SILENT_DETAIL, Handover
from .outcomes import record_answer
from .send_failure import SendFailure

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from catkinreach_core.gateway.event_numbering import EventNumbering
    from catkinreach_core.gateway.events import StreamEvent

    from .admitted_request import AdmittedRequest
    from .engine_stream import EngineStream
    from .handover import SendSource
    from .node import Node

STALL_GAP_TARGETS = 2.5
"""Time without an event, in gap targets, after which another engine is tried
for the stream."""

MIN_STALL_S = 0.3
"""The least such time; a route may declare no gap target."""


class EventRelay:
    """Response body that yields a stream's events."""

    def __init__(
        self,
        node: Node,
        admitted: AdmittedRequest,
        source: SendSource[EngineStream],
        stream: EngineStream,
        numbering: EventNumbering,
    ) -> None:
        """Takes over an engine stream that has its first events."""
        self._node = node
        self._admitted = admitted
        self._source = source
        self._stream = stream
        self._numbering = numbering
        self._handover: Handover[EngineStream] | None = None
        self._last_id = admitted.metadata.resume_after
        self._first_event_s = 0.0
        self._has_failed = False

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Returns the iterator over the events' bytes."""
        return self._chunks()

    async def aclose(self) -> None:
        """Ends the stream; the engine cancels it if it is still running."""
        if not self._stream.is_complete and not self._has_failed:
            self._node.log.write(
                Event.CALLER_LEFT, request=self._admitted.metadata.request_id
            )
        self._end_handover()
        self._stream.close()
        self._node.crash_suspects.end_trial(self._admitted.suspect_keys)

    async def _chunks(self) -> AsyncIterator[bytes]:
        events = self._stream.first_events
        first_s = self._node.clock() - self._admitted.arrived_s
        self._first_event_s = round(first_s, 4)
        self._node.metrics.record(RequestStage.FIRST_EVENT, first_s)
        while True:
            data = self._join_new_events(events)
            if data:
                yield data
            if self._stream.is_complete:
                break
            events = await self._next_events()
        self._end_handover()
        self._finish()

    def _join_new_events(self, events: list[StreamEvent]) -> bytes:
        """Returns the bytes of events that the caller doesn't have yet."""
        parts = []
        for event in events:
            if event.event_id is not None:
                if self._last_id is not None and (
                    event.event_id <= self._last_id
                ):
                    continue
                self._last_id = event.event_id
                self._numbering.note(event.event_id)
            parts.append(event.data)
        return b''.join(parts)

    async def _next_events(self) -> list[StreamEvent]:
        if self._handover is not None:
            return await self._next_during_handover(self._handover)
        try:
            async with asyncio.timeout(self._event_timeout_s()):
                return await self._stream.next_events()
        except ExchangeError as error:
            return await self._resume(str(error))
        except TimeoutError:
            self._start_handover()
        return []

    @property
    def _remaining_s(self) -> float:
        return self._admitted.deadline_s - self._node.clock()

    def _event_timeout_s(self) -> float:
        if not self._source.can_replace:
            return self._remaining_s
        stall_s = self._admitted.route.gap_target_s * STALL_GAP_TARGETS
        return min(self._remaining_s, max(MIN_STALL_S, stall_s))

    def _start_handover(self) -> None:
        """Looks for another engine, if there may be one.

        Raises:
            ConnectionAbortedError: at the deadline.
        """
        if self._remaining_s <= 0:
            self._fail_silent()
        if not self._source.can_replace:
            # That may have changed during the wait; the engine may go on.
            return
        self._handover = Handover(self._source, self._stream, self._last_id)

    async def _next_during_handover(
        self, handover: Handover[EngineStream]
    ) -> list[StreamEvent]:
        """Returns the next events of whichever engine sends them."""
        if handover.is_done:
            return await self._end_search(handover)
        try:
            async with handover.interrupt_when_done(self._remaining_s):
                events = await self._stream.next_events()
        except ExchangeError as error:
            return await self._replace_lost(handover, str(error))
        except TimeoutError:
            if not handover.is_done:
                self._fail_silent()
            return await self._end_search(handover)
        if events and not handover.has_given_up:
            # The other engine was told of an earlier event.
            self._end_handover()
            self._log_kept('it went on')
        return events

    async def _end_search(
        self, handover: Handover[EngineStream]
    ) -> list[StreamEvent]:
        """Goes on at the other engine, or at the silent one if there's none."""
        other = await handover.other_send()
        self._handover = None
        if other is not None:
            return self._switch(other, SILENT_DETAIL)
        if handover.has_given_up:
            self._fail(f'{SILENT_DETAIL}; {handover.detail}')
        self._log_kept(handover.detail)
        return []

    async def _replace_lost(
        self, handover: Handover[EngineStream], reason: str
    ) -> list[StreamEvent]:
        """Waits for the other engine once the silent one is lost."""
        if handover.has_given_up:
            reason = SILENT_DETAIL
        handover.give_up(SendFailure.BROKEN, reason)
        other = await handover.other_send()
        self._handover = None
        if other is None:
            self._fail(f'{reason}; {handover.detail}')
        return self._switch(other, reason)

    def _end_handover(self) -> None:
        if self._handover is not None:
            self._handover.cancel()
            self._handover = None

    async def _resume(self, reason: str) -> list[StreamEvent]:
        """Resumes at another engine, or aborts the response."""
        self._source.record_lost(self._stream, SendFailure.BROKEN, reason)
        try:
            stream = await self._source.resume(self._last_id)
        except CatkinreachError as error:
            stream = None
            reason = f'{reason}; {error}'
        if stream is None:
            self._fail(reason)
        return self._switch(stream, reason)

    def _switch(self, stream: EngineStream, reason: str) -> list[StreamEvent]:
        """Goes on with the stream of another engine."""
        self._stream = stream
        self._node.log.write(
            Event.RESUMED,
            request=self._admitted.metadata.request_id,
            upstream=stream.upstream.upstream_id,
            reason=reason,
            after_event=self._last_id,
            software_version=stream.upstream.software_version,
        )
        return stream.first_events

    def _log_kept(self, reason: str) -> None:
        self._node.log.write(
            Event.SILENT_KEPT,
            request=self._admitted.metadata.request_id,
            upstream=self._stream.upstream.upstream_id,
            reason=reason,
            after_event=self._last_id,
        )

    def _fail_silent(self) -> NoReturn:
        self._source.record_lost(
            self._stream, SendFailure.SILENT, SILENT_DETAIL
        )
        self._fail(SILENT_DETAIL)

    def _fail(self, reason: str) -> NoReturn:
        """Aborts the response.

        Raises:
            ConnectionAbortedError: always.
        """
        self._has_failed = True
        self._node.log.write(
            Event.FAILED,
            request=self._admitted.metadata.request_id,
            reason=reason,
            after_event=self._last_id,
        )
        raise ConnectionAbortedError('the stream can not be resumed')

    def _finish(self) -> None:
        self._record_output_ratio()
        record_answer(
            self._node,
            self._admitted,
            self._stream.upstream.upstream_id,
            last_event=self._last_id,
            first_event_s=self._first_event_s,
        )

    def _record_output_ratio(self) -> None:
        """Records the ratio of generated to allowed output tokens."""
        traits = self._admitted.service.engine
        allowed = self._admitted.metadata.output_tokens
        if traits is None or not allowed or self._last_id is None:
            return
        generated = self._last_id * traits.event_tokens
        self._node.output_estimate.record_output_ratio(generated / allowed)


__all__ = ('EventRelay',)
