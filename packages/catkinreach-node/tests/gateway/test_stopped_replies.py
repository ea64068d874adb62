"""Upstreams that stop within a reply and keep the connection open."""

from __future__ import annotations

import asyncio
import time
from contextlib import suppress
from typing import TYPE_CHECKING, Final

import pytest

from catkinreach_node.http.connection import ExchangeError
from catkinreach_standins.platform.deployment import running_deployment
from catkinreach_standins.platform.raw_replies import (
    EVENTS,
    OK_HEAD,
    SEALED,
    STREAM_HEAD,
    fetch,
    make_request,
    script_replies,
)
from catkinreach_standins.platform.upstream_behaviour import RawReply

if TYPE_CHECKING:
    from catkinreach_standins.platform.deployment import Deployment

TIMEOUT_S: Final = 3.0
"""Timeout of the routes."""

SLACK_S: Final = 0.5
"""Time after the timeout by which a request must have its answer."""

STEP_BYTES: Final = 9
LENGTH: Final = b'Content-Length: 45\r\n\r\n' + b'error' * 9
FAILURE: Final = b'HTTP/1.1 500 Failed\r\n' + SEALED + LENGTH
REFUSAL: Final = (
    b'HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nRequest-Id: {id}\r\n' + LENGTH
)
SUCCESS: Final = OK_HEAD + LENGTH
STREAM: Final = STREAM_HEAD + b'Content-Length: 999\r\n\r\n' + b''.join(EVENTS)

REPLIES: Final = {
    'failure': FAILURE,
    'refusal': REFUSAL,
    'success': SUCCESS,
    'stream': STREAM,
}


async def _answer_time_s(deployment: Deployment, path: str) -> float:
    """Returns the time after which a request was answered, or broken off."""
    started_s = time.monotonic()
    with suppress(ExchangeError, TimeoutError):
        async with asyncio.timeout(TIMEOUT_S + 2 * SLACK_S):
            await fetch(deployment, make_request(deployment, path))
    return time.monotonic() - started_s


# A failure response that was broken off on a streaming route was waited for
# without end.
@pytest.mark.parametrize('path', ['/read/', '/order/', '/stream/', '/once/'])
@pytest.mark.parametrize('name', REPLIES)
def test_reply_that_stops_is_waited_for_without_a_timeout(
    path: str, name: str
) -> None:
    reply = REPLIES[name]

    async def run() -> list[float]:
        async with running_deployment() as (deployment, _):
            replies = [
                RawReply(reply[:size], stays_open=True)
                for size in range(1, len(reply), STEP_BYTES)
            ]
            script_replies(deployment, 'abde', *replies)
            return await asyncio.gather(
                *(
                    _answer_time_s(deployment, path)
                    for _ in (*replies, *replies)
                )
            )

    times_s = asyncio.run(run())
    assert max(times_s) <= TIMEOUT_S + SLACK_S
