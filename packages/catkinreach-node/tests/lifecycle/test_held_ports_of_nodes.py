"""Ports of a node that another process holds when the node starts."""

from __future__ import annotations

import asyncio
import socket

import pytest

from catkinreach_node import app
from catkinreach_standins.fakes.node_apps import (
    make_node_settings,
    running_node,
)
from catkinreach_standins.platform.deployment import eventually

HELD_S = 0.5
WITHIN_S = 5.0
NAMES = ('caller_address', 'operator_address', 'peer_address')


@pytest.fixture(autouse=True)
def _quick_drain(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(app, 'READINESS_NOTICE_S', 0.01)


# The node ended with exit code 2.
@pytest.mark.parametrize('name', NAMES)
def test_node_ends_when_a_port_is_in_use(name: str) -> None:
    settings = make_node_settings()
    address = getattr(settings, name)

    async def is_listening() -> bool:
        with socket.socket() as probe:
            return probe.connect_ex((address.host, address.port)) == 0

    async def run() -> None:
        holder = socket.socket()
        holder.bind((address.host, address.port))
        async with running_node(settings):
            await asyncio.sleep(HELD_S)
            assert not await is_listening()
            holder.close()
            await eventually(is_listening, within_s=WITHIN_S)

    asyncio.run(run())


# It could be drained only once the port was free.
def test_node_that_waits_for_a_port_cannot_be_drained() -> None:
    settings = make_node_settings()
    address = settings.caller_address

    async def run() -> None:
        with socket.socket() as holder:
            holder.bind((address.host, address.port))
            async with asyncio.timeout(WITHIN_S), running_node(settings):
                await asyncio.sleep(HELD_S)

    asyncio.run(run())
