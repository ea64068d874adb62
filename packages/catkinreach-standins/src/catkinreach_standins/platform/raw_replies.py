"""Replies that upstreams are scripted to send byte by byte."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from .deployment import Deployment, running_deployment
from .upstream import EVENT_COUNT

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from catkinreach_node.http.messages import HttpRequest

    from .upstream_behaviour import Behaviour, RawReply

PROMPT_AND_ANSWER_TOKENS = '1000,100'
SEALED = b'Request-Id: {id}\r\nResponse-Seal: seal-x\r\n'
OK_HEAD = b'HTTP/1.1 200 OK\r\n' + SEALED
STREAM_HEAD = OK_HEAD + b'Content-Type: text/event-stream\r\n'
EVENTS = tuple(
    f'id: {number}\ndata: token {number}\n\n'.encode()
    for number in range(1, EVENT_COUNT + 1)
)
WHOLE = b''.join(EVENTS)
STREAM_PATHS = ('/stream/', '/once/')


def run_scenario(scenario: Callable[[Deployment], Awaitable[None]]) -> None:
    """Runs a scenario on a gateway that is ready."""

    async def run() -> None:
        async with running_deployment() as (deployment, _):
            await scenario(deployment)

    asyncio.run(run())


def make_request(deployment: Deployment, path: str) -> HttpRequest:
    """Returns a request with a prompt."""
    return deployment.make_request(
        path,
        method='POST',
        body=b'prompt',
        token_count=PROMPT_AND_ANSWER_TOKENS,
    )


async def fetch(
    deployment: Deployment, request: HttpRequest
) -> tuple[int, bytes]:
    """Returns the status and body of the reply, on a new connection."""
    async with deployment.client.exchange(
        deployment.caller_address, request, is_new_connection=True
    ) as response:
        return response.status, await response.read()


def script_replies(
    deployment: Deployment, names: str, *replies: Behaviour | RawReply
) -> None:
    """Lets each of the upstreams send these replies next."""
    for name in names:
        deployment.upstreams[name].script.extend(replies)


__all__ = (
    'EVENTS',
    'OK_HEAD',
    'SEALED',
    'STREAM_HEAD',
    'STREAM_PATHS',
    'WHOLE',
    'fetch',
    'make_request',
    'run_scenario',
    'script_replies',
)
