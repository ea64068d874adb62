"""Stand-in of the platform's TCP balancer: round robin, pure byte copy.

Run as ``python -m catkinreach_standins.balancer --backends=IP:PORT,IP:PORT``.
"""

from __future__ import annotations

import asyncio
import contextlib
import sys
from http import HTTPStatus
from typing import TYPE_CHECKING

from absl import flags
from loguru import logger

from .command_line import new_flag_values
from .http_client import send_request
from .process import serve_forever

if TYPE_CHECKING:
    from collections.abc import Sequence

CONNECT_TIMEOUT_S = 0.5
HEALTH_PERIOD_S = 0.5
HEALTH_TIMEOUT_S = 0.5
COPY_SIZE_BYTES = 65536

_Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class Balancer:
    """Spreads connections over backends that can be connected to."""

    def __init__(
        self,
        backends: Sequence[str],
        *,
        health_addresses: Sequence[str] = (),
    ) -> None:
        """Keep backends and their health addresses, in the same order.

        Args:
            backends: caller addresses as ``IP:port``.
            health_addresses: operator addresses asked for ``/ready``;
                empty for no health checks.
        """
        self._backends = tuple(backends)
        self._health_addresses = tuple(health_addresses)
        self._unready: set[str] = set()
        self._next = 0
        self._server: asyncio.Server | None = None
        self._health: asyncio.Task[None] | None = None

    @property
    def port(self) -> int:
        """Port of the listening socket."""
        if self._server is None:
            raise RuntimeError('the balancer has not been started')
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    async def start(self, host: str, port: int) -> None:
        """Listen on the address and start the health checks."""
        self._server = await asyncio.start_server(
            self._serve,
            host,
            port,
            backlog=1024,
        )
        if self._health_addresses:
            self._health = asyncio.create_task(self._check_forever())

    async def close(self) -> None:
        """Stop listening and checking."""
        if self._server is not None:
            self._server.close()
        if self._health is not None:
            self._health.cancel()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            backend = await self._connect()
            if backend is None:
                logger.warning('balancer: no backend accepts connections')
                return
            await _copy_both(reader, writer, backend)
        finally:
            writer.close()

    async def _connect(self) -> _Streams | None:
        for backend in self._candidates():
            host, _, port = backend.rpartition(':')
            with contextlib.suppress(OSError):
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    return await asyncio.open_connection(host, int(port))
        return None

    def _candidates(self) -> tuple[str, ...]:
        start = self._next
        self._next = (start + 1) % len(self._backends)
        turned = self._backends[start:] + self._backends[:start]
        return tuple(
            backend for backend in turned if backend not in self._unready
        )

    async def _check_forever(self) -> None:
        while True:
            pairs = zip(self._backends, self._health_addresses, strict=True)
            await asyncio.gather(*(self._check(*pair) for pair in pairs))
            await asyncio.sleep(HEALTH_PERIOD_S)

    async def _check(self, backend: str, health_address: str) -> None:
        if await _is_ready(health_address):
            self._unready.discard(backend)
        else:
            self._unready.add(backend)


async def _is_ready(address: str) -> bool:
    try:
        async with asyncio.timeout(HEALTH_TIMEOUT_S):
            answer = await send_request(address, 'GET', '/ready')
    except OSError:
        return False
    return answer.status == HTTPStatus.OK


async def _copy_both(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    backend: _Streams,
) -> None:
    backend_reader, backend_writer = backend
    try:
        await asyncio.gather(
            _copy(reader, backend_writer),
            _copy(backend_reader, writer),
        )
    except OSError as error:
        logger.debug('balancer: connection lost: {!r}', error)
    finally:
        backend_writer.close()


async def _copy(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    while chunk := await reader.read(COPY_SIZE_BYTES):
        writer.write(chunk)
        await writer.drain()
    with contextlib.suppress(OSError):
        writer.write_eof()


def main(argv: list[str]) -> None:
    """Run the balancer until it is ended."""
    values = new_flag_values()
    flags.DEFINE_integer('port', 0, 'port on loopback', flag_values=values)
    flags.DEFINE_list('backends', [], 'backends', flag_values=values)
    flags.DEFINE_list('health', [], 'operator addresses', flag_values=values)
    values(argv)
    asyncio.run(_run(values))


async def _run(values: flags.FlagValues) -> None:
    balancer = Balancer(values.backends, health_addresses=values.health)
    await serve_forever(balancer, name='balancer', port=values.port)


if __name__ == '__main__':
    main(sys.argv)

__all__ = ('Balancer', 'main')
