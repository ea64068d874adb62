"""Replies that end with their connections are whole unless they are cut."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from catkinreach_node.http.connection import ExchangeError
from catkinreach_standins.platform.raw_replies import (
    EVENTS,
    OK_HEAD,
    STREAM_HEAD,
    STREAM_PATHS,
    WHOLE,
    fetch,
    make_request,
    run_scenario,
    script_replies,
)
from catkinreach_standins.platform.upstream_behaviour import RawReply

if TYPE_CHECKING:
    from catkinreach_standins.platform.deployment import Deployment


@pytest.mark.parametrize('path', ['/order/', '/read/'])
def test_plain_reply_that_ends_with_its_connection_is_whole(path: str) -> None:
    async def scenario(deployment: Deployment) -> None:
        script_replies(deployment, 'ab', RawReply(OK_HEAD + b'\r\nbody'))
        answer = await fetch(deployment, make_request(deployment, path))
        assert answer == (200, b'body')

    run_scenario(scenario)


def test_plain_reply_whose_connection_is_reset_is_not_whole() -> None:
    async def scenario(deployment: Deployment) -> None:
        script_replies(
            deployment, 'ab', RawReply(OK_HEAD + b'\r\nbo', is_reset=True)
        )
        status, _ = await fetch(deployment, make_request(deployment, '/order/'))
        assert status == 502

    run_scenario(scenario)


@pytest.mark.parametrize('path', STREAM_PATHS)
def test_stream_that_ends_with_its_connection_is_whole(path: str) -> None:
    async def scenario(deployment: Deployment) -> None:
        script_replies(
            deployment, 'de', RawReply(STREAM_HEAD + b'\r\n' + WHOLE)
        )
        answer = await fetch(deployment, make_request(deployment, path))
        assert answer == (200, WHOLE)

    run_scenario(scenario)


INSIDE_EVENT = STREAM_HEAD + b'\r\n' + b''.join(EVENTS[:3]) + b'id: 4\nda'


@pytest.mark.parametrize('is_reset', [False, True])
def test_stream_that_ends_inside_an_event_is_resumed(*, is_reset: bool) -> None:
    async def scenario(deployment: Deployment) -> None:
        script_replies(
            deployment, 'd', RawReply(INSIDE_EVENT, is_reset=is_reset)
        )
        for _ in range(3):
            request = make_request(deployment, '/stream/')
            assert await fetch(deployment, request) == (200, WHOLE)

    run_scenario(scenario)


@pytest.mark.parametrize('is_reset', [False, True])
def test_stream_that_ends_inside_an_event_does_not_look_complete(
    *, is_reset: bool
) -> None:
    async def scenario(deployment: Deployment) -> None:
        script_replies(
            deployment, 'de', RawReply(INSIDE_EVENT, is_reset=is_reset)
        )
        with pytest.raises(ExchangeError):
            await fetch(deployment, make_request(deployment, '/once/'))

    run_scenario(scenario)


def test_stream_that_ends_inside_its_first_event_fails() -> None:
    async def scenario(deployment: Deployment) -> None:
        script_replies(
            deployment, 'de', RawReply(STREAM_HEAD + b'\r\nid: 1\nda')
        )
        status, _ = await fetch(deployment, make_request(deployment, '/once/'))
        assert status == 502

    run_scenario(scenario)
