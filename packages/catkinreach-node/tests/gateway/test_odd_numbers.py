"""Numbers of callers that are out of range."""

from __future__ import annotations

import asyncio

from catkinreach_standins.platform.config import OTHER_API_KEY
from catkinreach_standins.platform.deployment import running_deployment

AFTER_WINDOW_S = 8.5
"""Time after which a request has left the window of the quota."""


def test_token_count_of_400_digits_ends_the_gateway() -> None:
    # It ended as the number left the window, with all other callers' requests.
    async def run() -> None:
        async with running_deployment() as (deployment, _):
            client = deployment.client
            request = deployment.make_request(
                '/read/', key=OTHER_API_KEY, token_count='1460,' + '9' * 400
            )
            status, body = await client.call_raw(
                deployment.caller_address, request
            )
            assert status == 400
            assert b'token-count' in body
            await asyncio.sleep(AFTER_WINDOW_S)
            status, _ = await client.call_raw(
                deployment.caller_address, deployment.make_request('/read/')
            )
            assert status == 200

    asyncio.run(run())
