"""Responses of an upstream's stand-in to plain requests and prefills."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from .received_request import ReceivedRequest
from .upstream_behaviour import SILENCE_S, Behaviour
from .upstream_exchange import reset
from .upstream_replies import (
    response,
    response_without_length,
    response_without_request_id,
)

if TYPE_CHECKING:
    from .upstream_exchange import UpstreamExchange

ARRIVAL_S = 0.01
"""Time for the sent bytes to arrive before the connection is reset."""


async def respond_plain(
    exchange: UpstreamExchange, behaviour: Behaviour
) -> bool:
    """Answers a plain request; returns whether the connection stays open."""
    if behaviour is Behaviour.PAUSE:
        await exchange.pause()
    if behaviour in {Behaviour.CLOSED_END, Behaviour.RESET_BODY}:
        await _respond_without_length(exchange, behaviour)
        return False
    await _respond_with_length(exchange, behaviour)
    return True


async def respond_prefill(exchange: UpstreamExchange) -> None:
    """Answers a prefill with a new handle."""
    upstream = exchange.upstream
    await asyncio.sleep(upstream.prefill_s)
    upstream.handle_count += 1
    result = {
        'handle': f'h{upstream.handle_count}',
        'tokens': 10,
        'version': 1,
    }
    exchange.respond(200, msgspec.json.encode(result), is_sealed=False)


async def _respond_without_length(
    exchange: UpstreamExchange, behaviour: Behaviour
) -> None:
    request, writer = exchange.request, exchange.writer
    is_whole = behaviour is Behaviour.CLOSED_END
    body = _plain_body(exchange)
    reply = response_without_length(
        request, exchange.instance_id, body if is_whole else body[:-3]
    )
    writer.write(exchange.add_headers(reply))
    if is_whole:
        return
    await asyncio.sleep(ARRIVAL_S)
    reset(writer)


async def _respond_with_length(
    exchange: UpstreamExchange, behaviour: Behaviour
) -> None:
    writer, upstream_id = exchange.writer, exchange.instance_id
    if behaviour is Behaviour.EXTRA_RESPONSE:
        other = ReceivedRequest('GET', '/', {'request-id': 'other'}, b'')
        writer.write(response(other, 200, upstream_id, b'not yours'))
    if behaviour is Behaviour.NO_REQUEST_ID:
        writer.write(response_without_request_id(upstream_id, b'not yours'))
    data = response(
        exchange.request,
        500 if behaviour is Behaviour.FAIL else 200,
        upstream_id,
        _plain_body(exchange),
        is_sealed=behaviour is not Behaviour.NO_SEAL,
    )
    data = exchange.add_headers(data)
    if behaviour is Behaviour.SILENT_MIDWAY:
        writer.write(data[:-3])
        await asyncio.sleep(SILENCE_S)
        data = data[-3:]
    writer.write(data)


def _plain_body(exchange: UpstreamExchange) -> bytes:
    upstream_id = exchange.upstream.upstream_id
    return f'{upstream_id} ran {exchange.request.request_id}'.encode()


__all__ = ('respond_plain', 'respond_prefill')
