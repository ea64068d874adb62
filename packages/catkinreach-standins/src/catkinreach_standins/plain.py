"""Stand-in of a plain service that counts executions.

Run as ``python -m catkinreach_standins.plain --port=9101``.
"""

from __future__ import annotations

import asyncio
import hashlib
import os
import sys
import time
from collections import Counter
from pathlib import Path

import msgspec
from absl import flags

from .capture import open_append_sink
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

CRASH_EXIT_CODE = 3


class PlainFaults(msgspec.Struct, frozen=True):
    """Body of ``POST /standin/faults``; fields left out change nothing."""

    die_before_answer: int | None = None
    delay_s: float | None = None
    exit_before_answer: bool | None = None


class Execution(msgspec.Struct, frozen=True):
    """One execution, at a monotonic time in seconds."""

    path: str
    workspace: str
    key: str
    at_s: float


class PlainService:
    """Executes any call and counts it by workspace, key and path."""

    def __init__(
        self,
        name: str,
        *,
        delay_s: float = 0,
        capture: Path | None = None,
        journal: Path | None = None,
    ) -> None:
        """Start with no counts.

        Args:
            name: name in the answers.
            delay_s: time from execution to answer.
            capture: file that keeps every byte received.
            journal: file that keeps the executions over a crash.
        """
        self._name = name
        self._delay_s = delay_s
        self._deaths_left = 0
        self._exit_before_answer = False
        self._by_key: Counter[tuple[str, str]] = Counter()
        self._by_path: Counter[str] = Counter()
        self._header_names: set[str] = set()
        self._log: list[Execution] = []
        self._journal = open_append_sink(journal)
        self._server = HttpServer(
            self._route, on_bytes=open_append_sink(capture)
        )

    @property
    def port(self) -> int:
        """Port of the listening socket."""
        return self._server.port

    async def start(self, host: str, port: int) -> None:
        """Listen on the address."""
        await self._server.start(host, port)

    async def _route(self, request: Request) -> Response:
        if request.path == '/standin/record':
            return json_response(self._record())
        if request.path == '/standin/faults':
            return self._set_faults(request)
        return await self._execute(request)

    def _set_faults(self, request: Request) -> Response:
        try:
            faults = msgspec.json.decode(request.body, type=PlainFaults)
        except msgspec.DecodeError:
            return error_response(400, 'bad-request')
        if faults.die_before_answer is not None:
            self._deaths_left = faults.die_before_answer
        if faults.delay_s is not None:
            self._delay_s = faults.delay_s
        if faults.exit_before_answer is not None:
            self._exit_before_answer = faults.exit_before_answer
        return json_response({})

    async def _execute(self, request: Request) -> Response:
        workspace = request.headers.get('x-workspace', '')
        key = request.headers.get('idempotency-key', '')
        self._header_names.update(request.headers)
        self._by_path[request.path] += 1
        self._by_key[workspace, key] += 1
        execution = self._by_key[workspace, key]
        self._enter(Execution(request.path, workspace, key, time.monotonic()))
        if self._exit_before_answer:
            os._exit(CRASH_EXIT_CODE)
        if self._deaths_left:
            self._deaths_left -= 1
            raise ConnectionAbort
        await asyncio.sleep(self._delay_s)
        return json_response(
            {
                'service': self._name,
                'path': request.path,
                'execution': execution,
                'workspace': workspace,
                'body_sha256': hashlib.sha256(request.body).hexdigest(),
            }
        )

    def _enter(self, execution: Execution) -> None:
        self._log.append(execution)
        if self._journal is not None:
            self._journal(msgspec.json.encode(execution) + b'\n')

    def _record(self) -> dict[str, object]:
        return {
            'executions': [
                {'workspace': workspace, 'key': key, 'count': count}
                for (workspace, key), count in self._by_key.items()
            ],
            'paths': dict(self._by_path),
            'log': self._log,
            'header_names': sorted(self._header_names),
        }


def main(argv: list[str]) -> None:
    """Run the service until it is ended."""
    values = new_flag_values()
    flags.DEFINE_integer('port', 0, 'port on loopback', flag_values=values)
    flags.DEFINE_string('name', 'plain', 'service name', flag_values=values)
    flags.DEFINE_float('delay_s', 0, 'answer delay', flag_values=values)
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
