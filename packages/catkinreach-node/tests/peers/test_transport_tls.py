"""Tests that peers authenticate each other by their TLS certificates."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from catkinreach_core.ids import Incarnation, VmId
from catkinreach_core.messages.base import PeerMessage, wire_tag
from catkinreach_core.settings.node import Address, TlsFiles
from catkinreach_node.peers.transport import (
    PeerTransport,
    PeerUnreachableError,
)
from catkinreach_node.tls.contexts import ReloadableContext
from catkinreach_standins.bench.certificates import TestAuthority
from catkinreach_standins.bench.ports import LOOPBACK, free_ports

if TYPE_CHECKING:
    from pathlib import Path

SERVER = VmId('vm-1')
CLIENT = VmId('vm-2')


@wire_tag('test-echo')
class Echo(PeerMessage, frozen=True, kw_only=True):
    """A call whose reply is the same message."""

    text: str


async def _echo(_: VmId, message: Echo) -> Echo:
    return message


def _contexts(
    authority: TestAuthority, name: str
) -> tuple[ReloadableContext, ReloadableContext]:
    issued = authority.issue(name)
    files = TlsFiles(
        certificate=str(issued.certificate),
        key=str(issued.key),
        authority=str(authority.path),
    )
    server = ReloadableContext.for_server(files)
    client = ReloadableContext.for_peer_client(files)
    assert server is not None
    assert client is not None
    return server, client


async def _call(
    server_authority: TestAuthority,
    client_authority: TestAuthority,
    *,
    server_name: str = SERVER,
    client_name: str = CLIENT,
) -> str:
    address = Address(LOOPBACK, free_ports(1)[0])
    server_side, _ = _contexts(server_authority, server_name)
    _, client_side = _contexts(client_authority, client_name)
    server = PeerTransport(SERVER, Incarnation('one'), lambda _: None)
    server.on_call(Echo, _echo)
    await server.start(address, server_side.context)
    client = PeerTransport(
        CLIENT,
        Incarnation('two'),
        lambda _: address,
        tls=client_side.context,
    )
    try:
        reply = await client.call(
            SERVER, Echo(text='proved'), Echo, timeout_s=1
        )
    finally:
        client.close()
        server.close()
    return reply.text


def test_peers_of_the_same_authority_connect(tmp_path: Path) -> None:
    authority = TestAuthority(tmp_path)
    assert asyncio.run(_call(authority, authority)) == 'proved'


def test_peer_of_another_authority_is_refused(tmp_path: Path) -> None:
    authority = TestAuthority(tmp_path)
    other = TestAuthority(tmp_path, 'other')
    with pytest.raises(PeerUnreachableError):
        asyncio.run(_call(authority, other))


@pytest.mark.parametrize(
    'names',
    [
        {'server_name': 'vm-9'},
        {'client_name': 'vm-9'},
    ],
)
def test_certificate_of_another_vm_is_refused(
    tmp_path: Path, names: dict[str, str]
) -> None:
    authority = TestAuthority(tmp_path)
    with pytest.raises(PeerUnreachableError):
        asyncio.run(_call(authority, authority, **names))
