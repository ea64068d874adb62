"""Stand-in of the configuration service, which nodes can only read and watch.

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
"""A watch counts as one more read for each such period that it is open."""

Published = TypeVar('Published')


class VmEntry(msgspec.Struct, frozen=True):
    """VM in the published list.

    Attributes:
        id: Id of the VM.
        peer_address: Address for peer connections as ``IP:port``.
        failure_domain: Failure domain of the VM.
        state: State set by the platform, such as ``live`` or ``leaving``.
    """

    id: VmId
    peer_address: str
    failure_domain: FailureDomainId
    state: str = 'live'


class ConfigFaults(msgspec.Struct, frozen=True):
    """Body of ``POST /standin/faults``; ``None`` keeps the current value.

    Attributes:
        down: Whether connections of reads are closed without a response.
        stale: Whether reads get the previous revision of each value.
        frozen_vms: Whether new VM lists are held back from publication.
    """

    down: bool | None = None
    stale: bool | None = None
    frozen_vms: bool | None = None


class WatchedValue(Generic[Published]):
    """Published value that can be watched, with its previous revision."""

    def __init__(self, initial: Published) -> None:
        """Publishes the initial value as revision 1."""
        self._versions = [(Revision(1), initial)]
        self._changed = asyncio.Event()

    def current(self, *, stale: bool = False) -> tuple[Revision, Published]:
        """Returns the newest revision and value, the previous ones if stale."""
        return self._versions[0] if stale else self._versions[-1]

    def publish(self, content: Published) -> Revision:
        """Publishes a value and returns its revision."""
        revision = Revision(self._versions[-1][0] + 1)
        self._versions = [self._versions[-1], (revision, content)]
        self.wake_watches()
        return revision

    def wake_watches(self) -> None:
        """Wakes all watches so that they check the revision again."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_change(self, timeout_s: float) -> None:
        """Waits until watches are woken or the timeout ends."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()
        except TimeoutError:
            return


class ConfigService:
    """Serves the fleet settings and the VM list; counts reads."""

    def __init__(self, text: str, vms: tuple[VmEntry, ...]) -> None:
        """Publishes both values as revision 1.

        Args:
            text: Text of the fleet settings.
            vms: VM list.
        """
        self._fleet_text = WatchedValue(text)
        self._vms = WatchedValue(vms)
        self._pending_vms: tuple[VmEntry, ...] | None = None
        self._faults = ConfigFaults(down=False, stale=False, frozen_vms=False)
        self._read_count = 0
        self._open_watch_count = 0
        self._server = HttpServer(self._handle_request)

    @property
    def port(self) -> int:
        """Returns the port of the listening socket."""
        return self._server.port

    async def start(self, host: str, port: int) -> None:
        """Starts to listen on the address."""
        await self._server.start(host, port)

    async def close(self) -> None:
        """Stops listening."""
        await self._server.close()

    async def _handle_request(self, request: Request) -> Response:
        try:
            if request.path.startswith('/standin/'):
                return self._handle_control(request)
            return await self._handle_read(request)
        except ValueError:
            return error_response(HTTPStatus.BAD_REQUEST, 'bad-request')

    async def _handle_read(self, request: Request) -> Response:
        self._read_count += 1
        self._abort_if_down()
        if request.method != 'GET':
            return error_response(HTTPStatus.METHOD_NOT_ALLOWED, 'read-only')
        if request.path == '/v1/config':
            return await self._wait_for_revision(
                request, self._fleet_text, 'text'
            )
        if request.path == '/v1/vms':
            return await self._wait_for_revision(request, self._vms, 'vms')
        return error_response(HTTPStatus.NOT_FOUND, 'not-found')

    async def _wait_for_revision(
        self,
        request: Request,
        watched: WatchedValue[Published],
        field_name: str,
    ) -> Response:
        after = int(request.query.get('after', '0'))
        deadline_s = time.monotonic() + float(request.query.get('wait_s', '0'))
        self._open_watch_count += 1
        try:
            while True:
                revision, content = watched.current(stale=self._is_stale)
                if revision != after:
                    payload = {'revision': revision, field_name: content}
                    return json_response(payload)
                if time.monotonic() >= deadline_s:
                    return Response(status=HTTPStatus.NOT_MODIFIED)
                await self._wait_and_charge(watched, deadline_s)
        finally:
            self._open_watch_count -= 1

    @property
    def _is_stale(self) -> bool:
        return bool(self._faults.stale)

    async def _wait_and_charge(
        self, watched: WatchedValue[Published], deadline_s: float
    ) -> None:
        """Waits for a change; counts a read if a full charge period passes."""
        start_s = time.monotonic()
        await watched.wait_for_change(
            min(deadline_s - start_s, READ_CHARGE_PERIOD_S)
        )
        self._abort_if_down()
        if time.monotonic() - start_s >= READ_CHARGE_PERIOD_S:
            self._read_count += 1

    def _abort_if_down(self) -> None:
        if self._faults.down:
            raise ConnectionAbort

    def _handle_control(self, request: Request) -> Response:
        if len(request.body) > MAX_VALUE_BYTES:
            status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
            return error_response(status, 'value-too-large')
        match request.method, request.path:
            case 'PUT', '/standin/config':
                revision = self._fleet_text.publish(request.body.decode())
                return json_response({'revision': revision})
            case 'PUT', '/standin/vms':
                return self._put_vms(request.body)
            case 'POST', '/standin/faults':
                return self._set_faults(request.body)
            case 'GET', '/standin/record':
                return json_response(self._build_record())
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
        self._fleet_text.wake_watches()
        self._vms.wake_watches()
        return json_response(self._faults)

    def _build_record(self) -> dict[str, int]:
        return {
            'reads': self._read_count,
            'watches': self._open_watch_count,
            'config_revision': self._fleet_text.current()[0],
            'vms_revision': self._vms.current()[0],
        }


def decode_vms(body: bytes) -> tuple[VmEntry, ...]:
    """Returns the VM list decoded from JSON."""
    return msgspec.json.decode(body, type=tuple[VmEntry, ...])


def main(argv: list[str]) -> None:
    """Runs the configuration service until the process is stopped."""
    values = new_flag_values()
    flags.DEFINE_integer('port', 0, 'port on loopback', flag_values=values)
    flags.DEFINE_string(
        'config', '', 'path of the fleet settings', flag_values=values
    )
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
