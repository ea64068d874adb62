"""TLS contexts load and reload PEM files and refuse unusable ones."""

from __future__ import annotations

import asyncio
import os
import ssl
from datetime import timedelta
from typing import TYPE_CHECKING

import pytest

from catkinreach_core.settings.node import Address, TlsFiles
from catkinreach_node.http.messages import HttpRequest, HttpResponse
from catkinreach_node.http.server import HttpServer
from catkinreach_node.tls.contexts import CertificateError, ReloadableContext
from catkinreach_standins.bench.certificates import TestAuthority
from catkinreach_standins.bench.ports import LOOPBACK, free_ports

if TYPE_CHECKING:
    from pathlib import Path

    from catkinreach_standins.bench.certificates import CertificateFiles


def _files(issued: CertificateFiles) -> TlsFiles:
    return TlsFiles(certificate=str(issued.certificate), key=str(issued.key))


async def _serve(_: HttpRequest) -> HttpResponse:
    return HttpResponse.from_json(200, {})


async def _served_certificate(address: Address, authority_path: Path) -> bytes:
    context = ssl.create_default_context(cafile=str(authority_path))
    _, writer = await asyncio.open_connection(
        address.host, address.port, ssl=context, server_hostname='edge'
    )
    certificate: bytes = writer.get_extra_info('ssl_object').getpeercert(
        binary_form=True
    )
    writer.close()
    return certificate


def test_no_context_without_certificate() -> None:
    assert ReloadableContext.for_server(TlsFiles()) is None


def test_error_names_the_expired_certificate(tmp_path: Path) -> None:
    issued = TestAuthority(tmp_path).issue(
        'edge', valid_for=timedelta(seconds=-5)
    )
    with pytest.raises(CertificateError, match=r'edge\.pem expired at'):
        ReloadableContext.for_server(_files(issued))


def test_key_of_another_certificate_is_refused(tmp_path: Path) -> None:
    authority = TestAuthority(tmp_path)
    edge = authority.issue('edge')
    other = authority.issue('other')
    files = TlsFiles(certificate=str(edge.certificate), key=str(other.key))
    with pytest.raises(CertificateError, match='do not load'):
        ReloadableContext.for_server(files)


def test_new_certificate_is_used_without_restart(tmp_path: Path) -> None:
    asyncio.run(_reload_while_serving(tmp_path))


async def _reload_while_serving(directory: Path) -> None:
    authority = TestAuthority(directory)
    issued = authority.issue('edge')
    loaded = ReloadableContext.for_server(_files(issued))
    assert loaded is not None
    server = HttpServer(_serve, name='test')
    address = Address(LOOPBACK, free_ports(1)[0])
    await server.start(address, loaded.context)
    before = await _served_certificate(address, authority.path)
    authority.issue('edge')
    os.utime(issued.certificate, ns=(1, 1))
    assert loaded.reload_if_changed()
    after = await _served_certificate(address, authority.path)
    issued.certificate.write_text('broken')
    with pytest.raises(CertificateError):
        loaded.reload_if_changed()
    kept = await _served_certificate(address, authority.path)
    server.close()
    assert before != after
    assert kept == after
