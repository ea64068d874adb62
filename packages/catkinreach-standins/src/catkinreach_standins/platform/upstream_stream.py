"""Streams of an upstream's stand-in."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from .upstream_behaviour import (
    EVENTS_BEFORE_DISCONNECT,
    EVENTS_BEFORE_PAUSE,
    SILENCE_S,
    Behaviour,
)
from .upstream_exchange import reset
from .upstream_replies import StreamFraming

if TYPE_CHECKING:
    from .upstream_exchange import UpstreamExchange

EVENT_COUNT = 6
"""Events of a whole stream."""

ARRIVAL_S = 0.01
"""Time for the sent bytes to arrive before the connection is aborted."""

_PAUSES = {0: Behaviour.PAUSE_FIRST, EVENTS_BEFORE_PAUSE: Behaviour.PAUSE}
"""Behaviours that pause a stream, by the number of events sent before."""


async def respond_stream(
    exchange: UpstreamExchange, behaviour: Behaviour
) -> bool:
    """Sends a stream, or an error if the next resumed one fails.

    Returns:
        Whether the connection stays open.
    """
    upstream, request = exchange.upstream, exchange.request
    if behaviour is Behaviour.FAIL_RESUMED:
        upstream.resumed_failures += 1
        behaviour = Behaviour.DISCONNECT
    is_resumed = request.headers.get('last-event-id', '0') != '0'
    if is_resumed and upstream.resumed_failures:
        upstream.resumed_failures -= 1
        upstream.faulty_ids.add(request.request_id)
        exchange.respond(500, b'engine failed')
        return True
    is_chunked = behaviour not in {Behaviour.CLOSED_END, Behaviour.RESET_BODY}
    framing = StreamFraming(is_chunked=is_chunked)
    return await _send_stream(exchange, behaviour, framing)


async def _send_stream(
    exchange: UpstreamExchange, behaviour: Behaviour, framing: StreamFraming
) -> bool:
    request, writer = exchange.request, exchange.writer
    first_event_id = int(request.headers.get('last-event-id', '0')) + 1
    head = framing.head(request, exchange.instance_id)
    writer.write(exchange.add_headers(head))
    for event_id in range(first_event_id, EVENT_COUNT + 1):
        token = f'token {event_id} {exchange.version}'.rstrip()
        event = f'id: {event_id}\ndata: {token}\n\n'.encode()
        is_midway = event_id > EVENTS_BEFORE_DISCONNECT
        if is_midway and behaviour is Behaviour.DISCONNECT:
            writer.write(framing.encode(event[:5]))
            await writer.drain()
            await asyncio.sleep(ARRIVAL_S)
            writer.transport.abort()
            return False
        if behaviour is _PAUSES.get(event_id - first_event_id):
            await exchange.pause()
        if is_midway and behaviour is Behaviour.RESET_BODY:
            reset(writer)
            return False
        if is_midway and behaviour is Behaviour.SILENT_MIDWAY:
            await asyncio.sleep(SILENCE_S)
            behaviour = Behaviour.SERVE
        writer.write(framing.encode(event))
        await asyncio.sleep(exchange.upstream.event_gap_s)
    writer.write(framing.end())
    return framing.is_chunked


__all__ = ('EVENT_COUNT', 'respond_stream')
