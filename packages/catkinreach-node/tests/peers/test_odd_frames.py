"""Messages of peers that can't be sent, read or applied."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import pytest

from catkinreach_core.errors import CatkinreachError, ErrorKind
from catkinreach_core.ids import Incarnation, VmId
from catkinreach_core.messages.base import PeerMessage, wire_tag
from catkinreach_core.messages.hello import Refusal
from catkinreach_core.settings.node import Address
from catkinreach_node.peers.transport import (
    PeerTransport,
    PeerUnreachableError,
    _checked_reply,
)
from catkinreach_node.supervisor import Supervisor
from catkinreach_node.telemetry.metrics import Metrics
from catkinreach_standins.bench.ports import LOOPBACK, free_ports

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

SERVER = VmId('vm-1')
CLIENT = VmId('vm-2')
TOO_LARGE = 2**70
TIMEOUT_S = 5.0
SHORT_TIMEOUT_S = 0.2


@wire_tag('test-number')
class Number(PeerMessage, frozen=True, kw_only=True):
    """A call whose reply is the same message, and a one-way message."""

    number: int


@asynccontextmanager
async def _peers() -> AsyncIterator[tuple[PeerTransport, PeerTransport]]:
    """Runs two nodes; yields the sender and the receiver."""
    address = Address(LOOPBACK, free_ports(1)[0])
    receiver = PeerTransport(SERVER, Incarnation('one'), lambda _: None)
    sender = PeerTransport(CLIENT, Incarnation('two'), lambda _: address)
    await receiver.start(address)
    try:
        yield sender, receiver
    finally:
        sender.close()
        receiver.close()
        await asyncio.sleep(0)


async def _echo(_: VmId, message: Number) -> Number:
    return message


async def _call(sender: PeerTransport, number: int) -> Number:
    return await sender.call(
        SERVER, Number(number=number), Number, timeout_s=TIMEOUT_S
    )


# Nothing reached the peer any more until one of both restarted.
def test_message_that_cannot_be_sent_ends_the_link() -> None:
    async def run() -> None:
        async with _peers() as (sender, receiver):
            receiver.on_call(Number, _echo)
            for _ in range(2):
                sender.send(SERVER, Number(number=TOO_LARGE))
                reply = await _call(sender, 1)
                assert reply.number == 1

    asyncio.run(run())


def test_reply_that_cannot_be_sent_ends_the_link() -> None:
    async def double(_: VmId, message: Number) -> Number:
        return Number(number=message.number * TOO_LARGE)

    async def run() -> None:
        async with _peers() as (sender, receiver):
            receiver.on_call(Number, double)
            with pytest.raises(PeerUnreachableError):
                await sender.call(
                    SERVER,
                    Number(number=1),
                    Number,
                    timeout_s=SHORT_TIMEOUT_S,
                )
            assert (await _call(sender, 0)).number == 0

    asyncio.run(run())


# The messages that came with it were lost, and the connection.
def test_message_that_cannot_be_applied_takes_others_along() -> None:
    applied: list[int] = []

    def apply(_: VmId, message: Number) -> None:
        applied.append(100 // message.number)

    async def run() -> None:
        async with _peers() as (sender, receiver):
            receiver.on_message(Number, apply)
            receiver.on_call(Number, _echo)
            for number in (5, 0, 4, 0, 2):
                sender.send(SERVER, Number(number=number))
            await _call(sender, 1)

    asyncio.run(run())
    assert applied == [20, 25, 50]


def test_failing_message_is_not_counted() -> None:
    metrics = Metrics()
    supervisor = Supervisor(metrics)

    async def run() -> None:
        address = Address(LOOPBACK, free_ports(1)[0])
        sender = PeerTransport(
            CLIENT,
            Incarnation('two'),
            lambda _: address,
            supervisor=supervisor,
        )
        receiver = PeerTransport(SERVER, Incarnation('one'), lambda _: None)
        receiver.on_call(Number, _echo)
        await receiver.start(address)
        sender.send(SERVER, Number(number=TOO_LARGE))
        await _call(sender, 1)
        sender.close()
        receiver.close()

    asyncio.run(run())
    assert 'task_failures_total{task="peers"} 1' in metrics.exposition()


# A kind that only a newer peer knows ended the request with 500.
def test_refusal_of_an_unknown_kind_is_unexpected() -> None:
    with pytest.raises(CatkinreachError) as caught:
        _checked_reply(Refusal(kind='new-kind', detail='x'), Number)
    assert caught.value.kind is ErrorKind.PEER_PROTOCOL
