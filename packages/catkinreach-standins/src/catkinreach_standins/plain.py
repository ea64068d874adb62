"""Stand-in of a plain service that counts its executions.

Run as ``python -m catkinreach_standins.plain --port=9101``.
"""

from __future__ import annotations

import asyncio
import hashlib
import sys
import time
from collections import Counter
from pathlib import Path

import msgspec
from absl import flags

from .append_sink import open_append_sink
from .command_line import new_flag_values
from .http import (
    ConnectionAbort,
    HttpServer,
    Request,
    Response,
    error_response,
    json_response,
)
from .process import serve_forever
from .process_exit import crash_process


class PlainFaults(msgspec.Struct, frozen=True):
    """Body of ``POST /standin/faults``; ``None`` keeps the current value.

    Attributes:
        die_before_answer: Number of next requests whose connection is closed
            after the execution, before the response.
        delay_s: Time from execution to response.
        exit_before_answer: Whether the process exits after the next
            execution, before the response.
    """

    die_before_answer: int | None = None
    delay_s: float | None = None
    exit_before_answer: bool | None = None


class Execution(msgspec.Struct, frozen=True):
    """Execution of a request.

    Attributes:
        path: Path of the request.
        workspace: Workspace that sent it.
        key: Idempotency key, empty without one.
        at_s: Monotonic time of the execution.
    """

    path: str
    workspace: str
    key: str
    at_s: float


class PlainService:
    """Executes any request and counts it by workspace, key and path."""

    def __init__(
        self,
        name: str,
        *,
        delay_s: float = 0,
        capture: Path | None = None,
        journal: Path | None = None,
    ) -> None:
        """Creates a service that does not listen yet.

        Args:
            name: Name of the service in its responses.
            delay_s: Time from execution to response.
            capture: File to which all bytes received are appended.
            journal: File to which each execution is appended before the
                response, so that it survives a crash.
        """
        self._name = name
        self._delay_s = delay_s
        self._aborts_left = 0
        self._exit_before_answer = False
        self._count_by_key: Counter[tuple[str, str]] = Counter()
        self._count_by_path: Counter[str] = Counter()
        self._header_names: set[str] = set()
        self._executions: list[Execution] = []
        self._journal = open_append_sink(journal)
        self._server = HttpServer(
            self._handle_request, on_bytes=open_append_sink(capture)
        )

    @property
    def port(self) -> int:
        """Returns the port of the listening socket."""
        return self._server.port

    async def start(self, host: str, port: int) -> None:
        """Starts to listen on the address."""
        await self._server.start(host, port)

    async def _handle_request(self, request: Request) -> Response:
        if request.path == '/standin/record':
            return json_response(self._build_record())
        if request.path == '/standin/faults':
            return self._set_faults(request)
        return await self._execute(request)

    def _set_faults(self, request: Request) -> Response:
        try:
            faults = msgspec.json.decode(request.body, type=PlainFaults)
        except msgspec.DecodeError:
            return error_response(400, 'bad-request')
        if faults.die_before_answer is not None:
            self._aborts_left = faults.die_before_answer
        if faults.delay_s is not None:
            self._delay_s = faults.delay_s
        if faults.exit_before_answer is not None:
            self._exit_before_answer = faults.exit_before_answer
        return json_response({})

    async def _execute(self, request: Request) -> Response:
        workspace = request.headers.get('x-workspace', '')
        key = request.headers.get('idempotency-key', '')
        self._header_names.update(request.headers)
        self._count_by_path[request.path] += 1
        self._count_by_key[workspace, key] += 1
        execution_number = self._count_by_key[workspace, key]
        self._record_execution(
            Execution(request.path, workspace, key, time.monotonic())
        )
        if self._exit_before_answer:
            crash_process('before its answer')
        if self._aborts_left:
            self._aborts_left -= 1
            raise ConnectionAbort
        await asyncio.sleep(self._delay_s)
        return json_response(
            {
                'service': self._name,
                'path': request.path,
                'execution': execution_number,
                'workspace': workspace,
                'body_sha256': hashlib.sha256(request.body).hexdigest(),
            }
        )

    def _record_execution(self, execution: Execution) -> None:
        self._executions.append(execution)
        if self._journal is not None:
            self._journal(msgspec.json.encode(execution) + b'\n')

    def _build_record(self) -> dict[str, object]:
        return {
            'executions': [
                {'workspace': workspace, 'key': key, 'count': count}
                for (workspace, key), count in self._count_by_key.items()
            ],
            'paths': dict(self._count_by_path),
            'log': self._executions,
            'header_names': sorted(self._header_names),
        }


def main(argv: list[str]) -> None:
    """Runs the service until the process is stopped."""
    values = new_flag_values()
    flags.DEFINE_integer('port', 0, 'port on loopback', flag_values=values)
    flags.DEFINE_string('name', 'plain', 'service name', flag_values=values)
    flags.DEFINE_float(
        'delay_s', 0, 'response delay in seconds', flag_values=values
    )
    flags.DEFINE_string('capture', '', 'capture path', flag_values=values)
    flags.DEFINE_string('journal', '', 'journal path', flag_values=values)
    values(argv)
    asyncio.run(_run(values))


async def _run(values: flags.FlagValues) -> None:
    service = PlainService(
        values.name,
        delay_s=values.delay_s,
        capture=Path(values.capture) if values.capture else None,
        journal=Path(values.journal) if values.journal else None,
    )
    await serve_forever(service, name=values.name, port=values.port)


if __name__ == '__main__':
    main(sys.argv)

__all__ = ('PlainFaults', 'PlainService', 'main')
