"""Tests that the fault proxy produces each of its faults."""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from contextlib import asynccontextmanager, suppress
from typing import TYPE_CHECKING

import pytest

from catkinreach_core.ids import Incarnation, VmId
from catkinreach_core.messages.codec import Frame, encode_frame
from catkinreach_core.messages.hello import Hello
from catkinreach_standins.bench.ports import LOOPBACK, free_ports
from catkinreach_standins.faultproxy.faults import (
    DirectionFaults,
    LinkFaults,
    LinkPlan,
    OneTimeFault,
    OneTimeFaultRequest,
    SetFaultsRequest,
)
from catkinreach_standins.faultproxy.service import FaultProxy
from catkinreach_standins.http_client import send_request

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

REPLY_TIMEOUT_S = 5.0
SILENCE_S = 0.2
RESET = b'reset'
LINGER_ZERO = struct.pack('ii', 1, 0)


class ProxyTestbed:
    """An echo server behind a link of a fault proxy."""

    def __init__(self, link_port: int, control_port: int) -> None:
        """Stores the ports of the proxy."""
        self.link_port = link_port
        self.control = f'{LOOPBACK}:{control_port}'
        self.received = b''

    async def echo(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Sends received bytes back, and ``end`` at the end of the stream.

        The bytes ``RESET`` make it reset the connection.
        """
        with suppress(OSError):
            while chunk := await reader.read(65536):
                self.received += chunk
                if chunk == RESET:
                    writer.get_extra_info('socket').setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO
                    )
                    writer.transport.abort()
                    return
                writer.write(chunk)
            writer.write(b'end')
        writer.close()

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Opens a connection through the link."""
        return await asyncio.open_connection(LOOPBACK, self.link_port)

    async def set_faults(self, faults: LinkFaults, source: str = '') -> None:
        """Sets the persistent faults of a source."""
        request = SetFaultsRequest(link='link', source=source, faults=faults)
        response = await send_request(
            self.control, 'PUT', '/standin/faults', payload=request
        )
        assert response.status == 200

    async def inject_once(self, fault: OneTimeFault) -> None:
        """Applies a one-time fault."""
        request = OneTimeFaultRequest(link='link', act=fault)
        await send_request(
            self.control, 'POST', '/standin/act', payload=request
        )

    async def heal(self) -> None:
        """Removes all persistent faults."""
        await send_request(self.control, 'POST', '/standin/heal')

    async def record(self) -> dict[str, int]:
        """Returns the counters of the link."""
        response = await send_request(self.control, 'GET', '/standin/record')
        record: dict[str, int] = response.json()['link']
        return record


@asynccontextmanager
async def running_testbed(
    *, is_peer: bool = False
) -> AsyncIterator[ProxyTestbed]:
    link_port, control_port, target_port = free_ports(3)
    testbed = ProxyTestbed(link_port, control_port)
    target = await asyncio.start_server(testbed.echo, LOOPBACK, target_port)
    plan = LinkPlan(
        name='link',
        port=link_port,
        target=f'{LOOPBACK}:{target_port}',
        is_peer=is_peer,
    )
    proxy = FaultProxy([plan], seed=1)
    await proxy.start(LOOPBACK, control_port)
    try:
        yield testbed
    finally:
        await proxy.close()
        target.close()


async def _read_exactly(reader: asyncio.StreamReader, size: int) -> bytes:
    return await asyncio.wait_for(reader.readexactly(size), REPLY_TIMEOUT_S)


async def _is_silent(reader: asyncio.StreamReader) -> bool:
    try:
        await asyncio.wait_for(reader.read(1), SILENCE_S)
    except TimeoutError:
        return True
    return False


async def _is_closed(reader: asyncio.StreamReader) -> bool:
    try:
        return not await asyncio.wait_for(reader.read(1), REPLY_TIMEOUT_S)
    except ConnectionError:
        return True


def test_bytes_pass_without_faults() -> None:
    async def scenario() -> None:
        async with running_testbed() as testbed:
            reader, writer = await testbed.connect()
            writer.write(b'hello')
            assert await _read_exactly(reader, 5) == b'hello'
            assert (await testbed.record())['bytes_up'] == 5

    asyncio.run(scenario())


def test_cut_resets_connections_until_healed() -> None:
    async def scenario() -> None:
        async with running_testbed() as testbed:
            reader, writer = await testbed.connect()
            writer.write(b'a')
            await _read_exactly(reader, 1)
            await testbed.set_faults(LinkFaults(cut=True))
            assert await _is_closed(reader)
            refused, _ = await testbed.connect()
            assert await _is_closed(refused)
            await testbed.heal()
            reader, writer = await testbed.connect()
            writer.write(b'b')
            assert await _read_exactly(reader, 1) == b'b'

    asyncio.run(scenario())


@pytest.mark.parametrize('direction', ['up', 'down'])
def test_one_way_loss_resets_only_when_healed(direction: str) -> None:
    async def scenario() -> None:
        async with running_testbed() as testbed:
            reader, writer = await testbed.connect()
            lossy = DirectionFaults(vanish=True)
            await testbed.set_faults(
                LinkFaults(up=lossy)
                if direction == 'up'
                else LinkFaults(down=lossy)
            )
            writer.write(b'lost')
            assert await _is_silent(reader)
            assert testbed.received == (b'' if direction == 'up' else b'lost')
            await testbed.heal()
            assert await _is_closed(reader)

    asyncio.run(scenario())


def test_delay_and_throttle_slow_the_bytes() -> None:
    async def scenario() -> None:
        async with running_testbed() as testbed:
            reader, writer = await testbed.connect()
            slow = DirectionFaults(delay_s=0.2, jitter_s=0.05, bytes_per_s=100)
            await testbed.set_faults(LinkFaults(up=slow))
            start_s = time.monotonic()
            writer.write(b'x' * 10)
            await _read_exactly(reader, 10)
            assert time.monotonic() - start_s >= 0.2
            writer.write(b'y')
            await _read_exactly(reader, 1)
            assert time.monotonic() - start_s >= 0.3

    asyncio.run(scenario())


def test_stalled_bytes_arrive_once_healed() -> None:
    async def scenario() -> None:
        async with running_testbed() as testbed:
            reader, writer = await testbed.connect()
            stalled = LinkFaults(down=DirectionFaults(stall=True))
            await testbed.set_faults(stalled)
            writer.write(b'held')
            assert await _is_silent(reader)
            await testbed.heal()
            assert await _read_exactly(reader, 4) == b'held'

    asyncio.run(scenario())


def test_half_close_ends_one_direction() -> None:
    async def scenario() -> None:
        async with running_testbed() as testbed:
            reader, writer = await testbed.connect()
            writer.write(b'a')
            await _read_exactly(reader, 1)
            await testbed.inject_once(OneTimeFault.HALF_CLOSE_UP)
            assert await _read_exactly(reader, 3) == b'end'

    asyncio.run(scenario())


def test_reset_affects_only_open_connections() -> None:
    async def scenario() -> None:
        async with running_testbed() as testbed:
            reader, writer = await testbed.connect()
            writer.write(b'a')
            await _read_exactly(reader, 1)
            await testbed.inject_once(OneTimeFault.RESET)
            assert await _is_closed(reader)
            reader, writer = await testbed.connect()
            writer.write(b'b')
            assert await _read_exactly(reader, 1) == b'b'

    asyncio.run(scenario())


def test_reset_by_the_target_does_not_become_an_orderly_end() -> None:
    # A body without length that was reset looked complete behind the link.
    async def scenario() -> None:
        async with running_testbed() as testbed:
            reader, writer = await testbed.connect()
            writer.write(RESET)
            with pytest.raises(ConnectionResetError):
                await asyncio.wait_for(reader.read(), REPLY_TIMEOUT_S)

    asyncio.run(scenario())


@pytest.mark.parametrize('sent', [b'lost', b''])
def test_end_after_lost_bytes_does_not_arrive_as_an_orderly_end(
    sent: bytes,
) -> None:
    # A body without length looked complete though its last bytes were lost.
    async def scenario() -> None:
        async with running_testbed() as testbed:
            reader, writer = await testbed.connect()
            writer.write(b'a')
            await _read_exactly(reader, 1)
            lossy = LinkFaults(down=DirectionFaults(vanish=True))
            await testbed.set_faults(lossy)
            writer.write(sent)
            writer.write_eof()
            assert await _is_silent(reader)
            await testbed.heal()
            with pytest.raises(ConnectionResetError):
                await asyncio.wait_for(reader.read(), REPLY_TIMEOUT_S)

    asyncio.run(scenario())


def test_source_of_a_peer_comes_from_its_first_frame() -> None:
    def encode_hello(vm: str) -> bytes:
        message = Hello(vm_id=VmId(vm), incarnation=Incarnation('i'))
        return encode_frame(Frame(message))

    async def scenario() -> None:
        async with running_testbed(is_peer=True) as testbed:
            await testbed.set_faults(LinkFaults(cut=True), source='vm-2')
            reader, writer = await testbed.connect()
            writer.write(encode_hello('vm-1'))
            assert await _read_exactly(
                reader, len(encode_hello('vm-1'))
            ) == encode_hello('vm-1')
            cut_reader, cut_writer = await testbed.connect()
            cut_writer.write(encode_hello('vm-2')[:3])
            cut_writer.write(encode_hello('vm-2')[3:])
            assert await _is_closed(cut_reader)

    asyncio.run(scenario())
