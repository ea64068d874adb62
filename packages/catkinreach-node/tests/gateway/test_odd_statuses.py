"""Replies whose status is none that HTTP knows."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from catkinreach_standins.platform.raw_replies import (
    SEALED,
    STREAM_PATHS,
    fetch,
    make_request,
    run_scenario,
    script_replies,
)
from catkinreach_standins.platform.upstream_behaviour import RawReply

if TYPE_CHECKING:
    from catkinreach_standins.platform.deployment import Deployment

ODD_STATUSES = (b'000', b'001', b'099', b'600', b'999')
BODY = b'Content-Length: 4\r\n\r\nbody'


# Callers got an answer with such a status.
@pytest.mark.parametrize('status', ODD_STATUSES)
@pytest.mark.parametrize('path', ['/order/', '/read/', *STREAM_PATHS])
def test_reply_with_an_odd_status_is_passed_on(
    path: str, status: bytes
) -> None:
    async def scenario(deployment: Deployment) -> None:
        reply = RawReply(b'HTTP/1.1 ' + status + b' odd\r\n' + SEALED + BODY)
        for names in ('ab', 'de'):
            script_replies(deployment, names, reply, reply, reply)
        answer = await fetch(deployment, make_request(deployment, path))
        assert answer[0] in {502, 504}
        assert answer[1] != b'body'

    run_scenario(scenario)
