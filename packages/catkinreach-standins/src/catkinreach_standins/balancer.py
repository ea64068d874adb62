"""Stand-in of the platform's TCP load balancer, which works round robin.

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
HEALTH_CHECK_PERIOD_S = 0.5
HEALTH_CHECK_TIMEOUT_S = 0.5
COPY_SIZE_BYTES = 65536

_StreamPair = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class Balancer:
    """Distributes TCP connections over backends and copies their bytes.

    Backends are chosen round robin, without those whose last health check
    failed. If one can't be reached, the connection goes to the next.
    """

    def __init__(
        self,
        backends: Sequence[str],
        *,
        health_addresses: Sequence[str] = (),
    ) -> None:
        """Creates a balancer that does not listen yet.

        Args:
            backends: Caller addresses as ``IP:port``.
            health_addresses: Operator addresses that are asked for
                ``/ready``, in the order of the backends; no health checks
                if empty.
        """
        self._backends = tuple(backends)
        self._health_addresses = tuple(health_addresses)
        self._unready_backends: set[str] = set()
        self._next_index = 0
        self._server: asyncio.Server | None = None
        self._health_task: asyncio.Task[None] | None = None

    @property
    def port(self) -> int:
        """Returns the port of the listening socket."""
        if self._server is None:
            raise RuntimeError('the balancer has not been started')
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    async def start(self, host: str, port: int) -> None:
        """Starts to listen on the address and to check the backends."""
        self._server = await asyncio.start_server(
            self._handle_connection,
            host,
            port,
            backlog=1024,
        )
        if self._health_addresses:
            self._health_task = asyncio.create_task(
                self._check_backends_forever()
            )

    async def close(self) -> None:
        """Stops listening and the health checks."""
        if self._server is not None:
            self._server.close()
        if self._health_task is not None:
            self._health_task.cancel()

    async def _handle_connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            backend = await self._connect_to_backend()
            if backend is None:
                logger.warning('balancer: no backend accepts connections')
                return
            await _copy_both_ways(reader, writer, backend)
        finally:
            writer.close()

    async def _connect_to_backend(self) -> _StreamPair | None:
        for backend in self._candidates():
            host, _, port = backend.rpartition(':')
            with contextlib.suppress(OSError):
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    return await asyncio.open_connection(host, int(port))
        return None

    def _candidates(self) -> tuple[str, ...]:
        start = self._next_index
        self._next_index = (start + 1) % len(self._backends)
        rotated = self._backends[start:] + self._backends[:start]
        return tuple(
            backend
            for backend in rotated
            if backend not in self._unready_backends
        )

    async def _check_backends_forever(self) -> None:
        while True:
            pairs = zip(self._backends, self._health_addresses, strict=True)
            await asyncio.gather(
                *(self._check_backend(*pair) for pair in pairs)
            )
            await asyncio.sleep(HEALTH_CHECK_PERIOD_S)

    async def _check_backend(self, backend: str, health_address: str) -> None:
        if await _is_ready(health_address):
            self._unready_backends.discard(backend)
        else:
            self._unready_backends.add(backend)


async def _is_ready(address: str) -> bool:
    try:
        async with asyncio.timeout(HEALTH_CHECK_TIMEOUT_S):
            response = await send_request(address, 'GET', '/ready')
    except OSError:
        return False
    return response.status == HTTPStatus.OK


async def _copy_both_ways(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    backend: _StreamPair,
) -> None:
    backend_reader, backend_writer = backend
    try:
        await asyncio.gather(
            _copy_until_eof(reader, backend_writer),
            _copy_until_eof(backend_reader, writer),
        )
    except OSError as error:
        logger.debug('balancer: connection lost: {!r}', error)
    finally:
        backend_writer.close()


async def _copy_until_eof(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    while chunk := await reader.read(COPY_SIZE_BYTES):
        writer.write(chunk)
        await writer.drain()
    with contextlib.suppress(OSError):
        writer.write_eof()


def main(argv: list[str]) -> None:
    """Runs the balancer until the process is stopped."""
    values = new_flag_values()
    flags.DEFINE_integer('port', 0, 'port on loopback', flag_values=values)
    flags.DEFINE_list(
        'backends', [], 'addresses of the backends', flag_values=values
    )
    flags.DEFINE_list(
        'health', [], 'operator addresses for health checks', flag_values=values
    )
    values(argv)
    asyncio.run(_run(values))


async def _run(values: flags.FlagValues) -> None:
    balancer = Balancer(values.backends, health_addresses=values.health)
    await serve_forever(balancer, name='balancer', port=values.port)


if __name__ == '__main__':
    main(sys.argv)

__all__ = ('Balancer', 'main')
