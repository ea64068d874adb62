"""Stand-in of the read-and-watch-only configuration service.

Run as ``python -m catkinreach_standins.configservice --port=7000``.
"""

from __future__ import annotations

import asyncio
import sys
import time
from http import HTTPStatus
from pathlib import Path
from typing import Generic, TypeVar

import msgspec
from absl import flags

from catkinreach_core.ids import FailureDomainId, Revision, VmId

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

MAX_VALUE_BYTES = 1_000_000
READ_CHARGE_PERIOD_S = 1.0

Published = TypeVar('Published')


class VmEntry(msgspec.Struct, frozen=True):
    """One entry VM of the published list."""

    id: VmId
    peer_address: str
    failure_domain: FailureDomainId
    state: str = 'live'


class ConfigFaults(msgspec.Struct, frozen=True):
    """Body of ``POST /standin/faults``; fields left out change nothing."""

    down: bool | None = None
    stale: bool | None = None
    frozen_vms: bool | None = None


class Topic(Generic[Published]):
    """A published value with its revision and the value before it."""

    def __init__(self, initial: Published) -> None:
        """Publish revision 1."""
        self._versions = [(Revision(1), initial)]
        self._changed = asyncio.Event()

    def current(self, *, stale: bool = False) -> tuple[Revision, Published]:
        """Return revision and value, or the ones before if stale."""
        return self._versions[0] if stale else self._versions[-1]

    def publish(self, content: Published) -> Revision:
        """Publish a new value under the next revision."""
        revision = Revision(self._versions[-1][0] + 1)
        self._versions = [self._versions[-1], (revision, content)]
        self.wake()
        return revision

    def wake(self) -> None:
        """Let all watches look again."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_change(self, timeout_s: float) -> None:
        """Wait for a change, at most for the time given."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()
        except TimeoutError:
            return


class ConfigService:
    """Serves the fleet's text and the VM list; counts reads."""

    def __init__(self, text: str, vms: tuple[VmEntry, ...]) -> None:
        """Publish both values as revision 1."""
        self._text = Topic(text)
        self._vms = Topic(vms)
        self._pending_vms: tuple[VmEntry, ...] | None = None
        self._faults = ConfigFaults(down=False, stale=False, frozen_vms=False)
        self._reads = 0
        self._watches = 0
        self._server = HttpServer(self._route)

    @property
    def port(self) -> int:
        """Port of the listening socket."""
        return self._server.port

    async def start(self, host: str, port: int) -> None:
        """Listen on the address."""
        await self._server.start(host, port)

    async def close(self) -> None:
        """Stop listening."""
        await self._server.close()

    async def _route(self, request: Request) -> Response:
        try:
            if request.path.startswith('/standin/'):
                return self._control(request)
            return await self._read(request)
        except ValueError:
            return error_response(HTTPStatus.BAD_REQUEST, 'bad-request')

    async def _read(self, request: Request) -> Response:
        self._reads += 1
        self._refuse_if_down()
        if request.method != 'GET':
            return error_response(HTTPStatus.METHOD_NOT_ALLOWED, 'read-only')
        if request.path == '/v1/config':
            return await self._watch(request, self._text, 'text')
        if request.path == '/v1/vms':
            return await self._watch(request, self._vms, 'vms')
        return error_response(HTTPStatus.NOT_FOUND, 'not-found')

    async def _watch(
        self,
        request: Request,
        topic: Topic[Published],
        field_name: str,
    ) -> Response:
        after = int(request.query.get('after', '0'))
        end_s = time.monotonic() + float(request.query.get('wait_s', '0'))
        self._watches += 1
        try:
            while True:
                revision, content = topic.current(stale=self._is_stale)
                if revision != after:
                    payload = {'revision': revision, field_name: content}
                    return json_response(payload)
                if time.monotonic() >= end_s:
                    return Response(status=HTTPStatus.NOT_MODIFIED)
                await self._hold_watch(topic, end_s)
        finally:
            self._watches -= 1

    @property
    def _is_stale(self) -> bool:
        return bool(self._faults.stale)

    async def _hold_watch(self, topic: Topic[Published], end_s: float) -> None:
        """Wait for at most one charge period and count it if whole."""
        start_s = time.monotonic()
        await topic.wait_change(min(end_s - start_s, READ_CHARGE_PERIOD_S))
        self._refuse_if_down()
        if time.monotonic() - start_s >= READ_CHARGE_PERIOD_S:
            self._reads += 1

    def _refuse_if_down(self) -> None:
        if self._faults.down:
            raise ConnectionAbort

    def _control(self, request: Request) -> Response:
        if len(request.body) > MAX_VALUE_BYTES:
            status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
            return error_response(status, 'value-too-large')
        match request.method, request.path:
            case 'PUT', '/standin/config':
                revision = self._text.publish(request.body.decode())
                return json_response({'revision': revision})
            case 'PUT', '/standin/vms':
                return self._put_vms(request.body)
            case 'POST', '/standin/faults':
                return self._set_faults(request.body)
            case 'GET', '/standin/record':
                return json_response(self._record())
        return error_response(HTTPStatus.NOT_FOUND, 'not-found')

    def _put_vms(self, body: bytes) -> Response:
        self._pending_vms = decode_vms(body)
        self._publish_pending_vms()
        return json_response({'revision': self._vms.current()[0]})

    def _publish_pending_vms(self) -> None:
        if self._pending_vms is None or self._faults.frozen_vms:
            return
        self._vms.publish(self._pending_vms)
        self._pending_vms = None

    def _set_faults(self, body: bytes) -> Response:
        faults = msgspec.json.decode(body, type=ConfigFaults)
        changed = {
            name: fault
            for name, fault in msgspec.structs.asdict(faults).items()
            if fault is not None
        }
        self._faults = msgspec.structs.replace(self._faults, **changed)
        self._publish_pending_vms()
        self._text.wake()
        self._vms.wake()
        return json_response(self._faults)

    def _record(self) -> dict[str, int]:
        return {
            'reads': self._reads,
            'watches': self._watches,
            'config_revision': self._text.current()[0],
            'vms_revision': self._vms.current()[0],
        }


def decode_vms(body: bytes) -> tuple[VmEntry, ...]:
    """Decode a JSON list of VMs."""
    return msgspec.json.decode(body, type=tuple[VmEntry, ...])


def main(argv: list[str]) -> None:
    """Run the service until it is ended."""
    values = new_flag_values()
    flags.DEFINE_integer('port', 0, 'port on loopback', flag_values=values)
    flags.DEFINE_string('config', '', 'path of the text', flag_values=values)
    flags.DEFINE_string('vms', '', 'path of the VM list', flag_values=values)
    values(argv)
    text = Path(values.config).read_text() if values.config else ''
    vms = Path(values.vms).read_bytes() if values.vms else b'[]'
    asyncio.run(_run(text, decode_vms(vms), port=values.port))


async def _run(text: str, vms: tuple[VmEntry, ...], *, port: int) -> None:
    service = ConfigService(text, vms)
    await serve_forever(service, name='configservice', port=port)


if __name__ == '__main__':
    main(sys.argv)

__all__ = ('ConfigFaults', 'ConfigService', 'VmEntry', 'decode_vms', 'main')
