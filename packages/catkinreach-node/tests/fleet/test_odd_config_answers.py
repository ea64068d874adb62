"""Configuration services whose answers are out of all bounds."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any

import pytest

from catkinreach_core.ids import VmId
from catkinreach_core.relay.read_policy import ReadPolicy
from catkinreach_node.config.state import FleetState
from catkinreach_node.fleet.relay import RelayTask
from catkinreach_node.http.client import HttpClient
from catkinreach_standins.fakes.scripted_upstream import (
    encode_response,
    scripted_upstream,
)

DEEP = '[' * 2_000 + ']' * 2_000
LONG = '9' * 400


def _read(body: str) -> tuple[FleetState, RelayTask]:
    """Reads the text and the VM list of a service once."""
    state = FleetState()

    async def run() -> RelayTask:
        client = HttpClient()
        core: Any = SimpleNamespace(
            read_policy=ReadPolicy(VmId('vm-1')), is_connected=True
        )
        core.apply_state = lambda _: None
        core.ownership = SimpleNamespace(history=SimpleNamespace(revisions=()))
        core.sample_alive = lambda _: ()
        transport: Any = SimpleNamespace(
            on_call=lambda *_: None, on_message=lambda *_: None
        )
        lists: Any = None
        response = encode_response(body.encode())
        async with scripted_upstream(lambda *_: (response,)) as (_, address):
            relay = RelayTask(
                core, state, transport, client, lists, service=address
            )
            await relay._read_config()
            await relay._read_vm_list()
        client.close()
        return relay

    return state, asyncio.run(run())


# The read ended with an error that wasn't recorded, or the revision spread.
@pytest.mark.parametrize(
    'body',
    [
        f'{{"revision":1,"text":"","vms":[],"more":{DEEP}}}',
        f'{{"revision":{LONG},"text":"","vms":[]}}',
        '{"revision":-1,"text":"","vms":[]}',
    ],
)
def test_odd_answer_of_the_service_is_taken(body: str) -> None:
    state, relay = _read(body)
    assert relay.status()['failed_reads'] == 2
    assert state.received_revision == 0
    assert state.vms.revision == 0
