"""Changes of the configuration beside requests that are not yet answered."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from catkinreach_standins.platform.config import (
    HOST,
    KEY,
    OTHER_API_KEY,
    PLAIN_SERVICE,
    make_config,
    make_limits,
    make_route,
)
from catkinreach_standins.platform.deployment import (
    Deployment,
    eventually,
    running_deployment,
)
from catkinreach_standins.platform.upstream import EVENT_COUNT
from catkinreach_standins.platform.upstream_behaviour import Behaviour

if TYPE_CHECKING:
    from catkinreach_node.gateway.app import GatewayApp

ANSWER_WITHIN_S = 4.0
READ_BYTES = 65_536
BODY = b'x' * 3000
HEAD = (
    'POST /order/ HTTP/1.1\r\nhost: {host}\r\nauthorization: Bearer {key}\r\n'
    'request-id: one\r\ndeadline-ms: 3000\r\ncontent-length: {length}\r\n\r\n'
)
CHANGES: dict[str, dict[str, object]] = {
    'no routes': {'routes': []},
    'nothing': {'routes': [], 'services': [], 'tenants': []},
    'other service': {
        'routes': [
            make_route('stream', 'streaming', PLAIN_SERVICE),
            make_route('read', 'idempotent', 'other'),
            make_route('order', 'non_idempotent', 'other'),
        ]
    },
    'other key': {
        'tenants': [
            {'name': 'one', 'api-keys': [OTHER_API_KEY], 'unit': 'tokens'}
        ]
    },
    'short limits': {
        'limits': make_limits(
            **{'header-timeout-ms': 50, 'idle-timeout-ms': 50}
        )
    },
    'short timeouts': {
        'routes': [
            make_route(
                'stream', 'streaming', PLAIN_SERVICE, **{'timeout-ms': 1}
            )
        ]
    },
}


class _DeploymentWithoutOthers(Deployment):
    def __init__(self) -> None:
        """Starts with one plain upstream and one decode engine."""
        super().__init__()
        del self.upstreams['b'], self.upstreams['e']


async def _apply(
    deployment: Deployment, gateway: GatewayApp, change: str
) -> None:
    """Publishes a change and waits until the gateway has applied it."""
    deployment.store.put('op/config', make_config(6, **CHANGES[change]))

    async def is_applied() -> bool:
        catalog = gateway._node.view.catalog
        return catalog is not None and catalog.version == 6

    await eventually(is_applied, within_s=1.0)


@pytest.mark.parametrize('change', CHANGES)
@pytest.mark.parametrize(
    ('path', 'method', 'upstream', 'behaviour'),
    [
        ('/read/', 'GET', 'a', Behaviour.SILENT_START),
        ('/order/', 'POST', 'a', Behaviour.SILENT_START),
        ('/stream/', 'POST', 'd', Behaviour.SILENT_START),
        ('/stream/', 'POST', 'd', Behaviour.SILENT_MIDWAY),
    ],
)
def test_running_request_ends_with_its_configuration(
    change: str, path: str, method: str, upstream: str, behaviour: Behaviour
) -> None:
    # A request goes on under the configuration with which it was admitted.
    async def run() -> tuple[int, bytes]:
        without_others = _DeploymentWithoutOthers()
        async with running_deployment(deployment=without_others) as (
            deployment,
            gateway,
        ):
            engine = deployment.upstreams[upstream]
            engine.script.append(behaviour)
            request = deployment.make_request(
                path, method=method, token_count='1000,100'
            )
            calling = asyncio.ensure_future(
                deployment.client.call_raw(deployment.caller_address, request)
            )

            async def has_received() -> bool:
                return bool(engine.received)

            await eventually(has_received, within_s=1.0)
            await _apply(deployment, gateway, change)
            assert not calling.done()
            async with asyncio.timeout(ANSWER_WITHIN_S):
                return await calling

    status, body = asyncio.run(run())
    assert status == 200
    if path == '/stream/':
        assert body.count(b'id: ') == EVENT_COUNT


@pytest.mark.parametrize('change', CHANGES)
@pytest.mark.parametrize('sent_bytes', [10, 400])
def test_half_read_request_ends_with_its_configuration(
    change: str, sent_bytes: int
) -> None:
    # It is admitted, or refused, under the new configuration.
    head = HEAD.format(host=HOST, key=KEY, length=len(BODY)).encode()

    async def run() -> bytes:
        async with running_deployment() as (deployment, gateway):
            address = deployment.caller_address
            reader, writer = await asyncio.open_connection(
                address.host, address.port
            )
            writer.write((head + BODY)[:sent_bytes])
            await asyncio.sleep(0)
            await _apply(deployment, gateway, change)
            writer.write((head + BODY)[sent_bytes:])
            async with asyncio.timeout(ANSWER_WITHIN_S):
                received = await reader.read(READ_BYTES)
            writer.close()
            return received

    assert asyncio.run(run()).startswith(b'HTTP/1.1 ')
