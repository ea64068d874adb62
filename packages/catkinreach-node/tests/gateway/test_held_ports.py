"""Ports that are held when a gateway process starts."""

from __future__ import annotations

import asyncio
import signal
import socket
from typing import TYPE_CHECKING

import pytest

from catkinreach_node.http.connection import ConnectError
from catkinreach_standins.platform.deployment import eventually
from catkinreach_standins.platform.processes import prepared_front

if TYPE_CHECKING:
    from pathlib import Path

    from catkinreach_standins.platform.processes import FrontProcess

HELD_S = 3.0
WITHIN_S = 12.0
SOON_S = 2.0
LOST = '"dependency-lost"'
PORTS = ('caller_address', 'ready_address', 'metrics_address', 'peer_address')


def _hold_port(front: FrontProcess, name: str) -> socket.socket:
    """Returns a socket at one of the front's addresses."""
    is_datagram = name == 'peer_address'
    address = getattr(front, name)
    holder = socket.socket(
        type=socket.SOCK_DGRAM if is_datagram else socket.SOCK_STREAM
    )
    holder.bind((address.host, address.port))
    if not is_datagram:
        holder.listen()
    return holder


# It ended with a traceback, or never served the port.
@pytest.mark.parametrize('name', PORTS)
def test_process_ends_when_a_port_is_in_use(name: str, tmp_path: Path) -> None:
    async def run() -> None:
        async with prepared_front(tmp_path) as front:
            with _hold_port(front, name):
                await front.launch()
                await asyncio.sleep(HELD_S)
                assert front.is_running
                if name in {'caller_address', 'ready_address'}:
                    assert not await front.is_ready()
            await front.wait_ready_unharmed(within_s=WITHIN_S)
            await eventually(lambda: _serves_metrics(front), within_s=SOON_S)
            assert front.log.count(LOST) == 1

    asyncio.run(run())


async def _serves_metrics(front: FrontProcess) -> bool:
    try:
        return 'members' in await front.read_metrics()
    except ConnectError:
        return False


def test_process_ends_when_its_predecessor_drains(tmp_path: Path) -> None:
    async def run() -> None:
        async with prepared_front(tmp_path) as front:
            await front.start()
            front.send_signal(signal.SIGTERM)
            await front.launch()
            await front.wait_ready_unharmed(within_s=WITHIN_S)

            async def has_predecessor_exited() -> bool:
                return front.predecessor_exit_codes == [0]

            await eventually(has_predecessor_exited, within_s=SOON_S)

    asyncio.run(run())


def test_process_that_waits_for_a_port_cannot_be_stopped(
    tmp_path: Path,
) -> None:
    async def run() -> None:
        async with prepared_front(tmp_path) as front:
            with _hold_port(front, 'caller_address'):
                await front.launch()
                await eventually(lambda: _has_lost(front), within_s=WITHIN_S)
                front.send_signal(signal.SIGTERM)
                assert await front.wait_exit(within_s=SOON_S) == 0

    asyncio.run(run())


async def _has_lost(front: FrontProcess) -> bool:
    return LOST in front.log
