"""How a stand-in of an upstream runs a request, by the scripted behaviour."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING

from .upstream_behaviour import (
    SILENCE_S,
    Behaviour,
    EndlessReply,
    RawReply,
    endless_reply,
)
from .upstream_exchange import reset
from .upstream_plain import respond_plain, respond_prefill
from .upstream_replies import partial_head
from .upstream_stream import respond_stream

if TYPE_CHECKING:
    from .upstream_exchange import UpstreamExchange

RESET_DELAY_S = 0.05
"""Time for the sent bytes to arrive before the connection is reset."""


async def run_request(
    exchange: UpstreamExchange, behaviour: Behaviour | RawReply
) -> bool:
    """Runs a request; returns whether the connection stays open."""
    if behaviour is Behaviour.SILENT_START:
        await asyncio.sleep(SILENCE_S)
    if behaviour is Behaviour.HANG:
        await exchange.wait_closed()
        return False
    if isinstance(behaviour, RawReply):
        return await _send_raw(exchange, behaviour)
    endless = endless_reply(behaviour, exchange.request, exchange.instance_id)
    if endless is not None:
        await _send_without_end(exchange, endless)
        return False
    return await _respond(exchange, behaviour)


async def _send_raw(exchange: UpstreamExchange, reply: RawReply) -> bool:
    """Sends scripted bytes; returns whether the connection stays open."""
    await asyncio.sleep(reply.delay_s)
    request_id = exchange.request.request_id.encode()
    exchange.writer.write(reply.data.replace(b'{id}', request_id))
    await exchange.writer.drain()
    if reply.is_reset:
        await asyncio.sleep(RESET_DELAY_S)
        reset(exchange.writer)
    return reply.stays_open


async def _send_without_end(
    exchange: UpstreamExchange, reply: EndlessReply
) -> None:
    """Sends bytes until the gateway closes the connection."""
    writer = exchange.writer
    writer.write(reply.start)
    with suppress(OSError):
        while not writer.is_closing():
            writer.write(reply.part)
            exchange.upstream.endless_bytes += len(reply.part)
            await writer.drain()
            await asyncio.sleep(0)
    exchange.record_abandoned()


async def _respond(exchange: UpstreamExchange, behaviour: Behaviour) -> bool:
    """Sends the response; returns whether the connection stays open."""
    upstream, request = exchange.upstream, exchange.request
    if behaviour is Behaviour.CUT_HEAD:
        exchange.writer.write(partial_head(request, exchange.instance_id))
        return False
    if upstream.stage and not request.is_prefill:
        return await respond_stream(exchange, behaviour)
    if behaviour is Behaviour.DISCONNECT:
        exchange.writer.transport.abort()
        return False
    if request.is_prefill:
        await respond_prefill(exchange)
        return True
    return await respond_plain(exchange, behaviour)


__all__ = ('run_request',)
