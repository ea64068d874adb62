"""Requests that arrive together while a gateway stops."""

from __future__ import annotations

import asyncio

from catkinreach_standins.platform.config import HOST, KEY
from catkinreach_standins.platform.deployment import running_deployment

STOP_TIMEOUT_S = 2.5
REQUEST = (
    'GET /read/ HTTP/1.1\r\nhost: {host}\r\nauthorization: Bearer {key}\r\n'
    'request-id: {id}\r\ndeadline-ms: 3000\r\n\r\n'
)


def test_pipelined_request_is_lost_when_the_gateway_stops() -> None:
    # The gateway announced the close although another request had arrived.
    async def run() -> bytes:
        async with running_deployment() as (deployment, gateway):
            address = deployment.caller_address
            reader, writer = await asyncio.open_connection(
                address.host, address.port
            )
            gateway.stop()
            for number in range(2):
                text = REQUEST.format(host=HOST, key=KEY, id=f'p{number}')
                writer.write(text.encode())
            received = b''
            async with asyncio.timeout(STOP_TIMEOUT_S):
                while chunk := await reader.read(65_536):
                    received += chunk
            writer.close()
            return received

    assert asyncio.run(run()).count(b' 200 ') == 2
