"""Upstreams whose address in the store can't be connected to."""

from __future__ import annotations

import asyncio

import pytest

from catkinreach_standins.platform.deployment import running_deployment

REQUEST_COUNT = 6


# Any error but one of the operating system ended the request with a 500.
@pytest.mark.parametrize('address', ['127.0.0.1:99999', 'a..b:80'])
def test_unusable_address_of_an_upstream_fails_requests(address: str) -> None:
    async def run() -> list[int]:
        async with running_deployment() as (deployment, _):
            deployment.publish_upstream(
                deployment.upstreams['a'], address=address, sequence=2
            )
            await asyncio.sleep(0.2)
            client = deployment.client
            responses = [
                await client.call_raw(
                    deployment.caller_address,
                    deployment.make_request('/read/'),
                )
                for _ in range(REQUEST_COUNT)
            ]
            return [status for status, _ in responses]

    assert asyncio.run(run()) == [200] * REQUEST_COUNT
