"""Crowds of clients that don't behave, at the ports of ``catkinreachd``.

They check nothing that depends on the speed of the machine.
"""

from __future__ import annotations

import asyncio
import re
import sys
from contextlib import asynccontextmanager
from pathlib import Path
from typing import TYPE_CHECKING, Final

import pytest

from catkinreach_node.http.client import HttpClient
from catkinreach_node.http.connection import ConnectError, ExchangeError
from catkinreach_node.http.messages import HttpRequest
from catkinreach_standins.fakes.node_apps import make_node_settings
from catkinreach_standins.fakes.sessions import EXAMPLES
from catkinreach_standins.platform.deployment import eventually
from catkinreach_standins.platform.hostile_clients import (
    Misbehaviour,
    hostile_crowd,
)

if TYPE_CHECKING:
    from asyncio.subprocess import Process
    from collections.abc import AsyncIterator

    from catkinreach_core.settings.node import NodeSettings

CLIENTS: Final = 400
MEMORY_KB: Final = 128_000
"""Memory of the smallest VM of any deployment."""
DESCRIPTORS: Final = 1_638
"""Descriptors of the VM that has the fewest."""
SEND_S: Final = 2.0
WITHIN_S: Final = 60.0
ATTEMPT_S: Final = 10.0
ENTRANCES: Final = {
    'callers': ('caller_address', '/v1/completions'),
    'no route': ('caller_address', '/nowhere'),
    'operators': ('operator_address', '/metrics'),
    'peers': ('peer_address', '/'),
}


def _settings_text(settings: NodeSettings) -> str:
    """Returns the example settings with other addresses."""
    text = (EXAMPLES / 'ninepatch' / 'vm-1.ini').read_text(encoding='utf-8')
    names = (
        'caller_address',
        'operator_address',
        'peer_address',
        'config_service',
    )
    for name in names:
        line = f'{name} = {getattr(settings, name)}'
        text = re.sub(rf'^{name} = .*$', line, text, flags=re.MULTILINE)
    return text


def _status_kb(process: Process, field: str) -> int:
    text = Path(f'/proc/{process.pid}/status').read_text(encoding='utf-8')
    line = next(one for one in text.splitlines() if one.startswith(field))
    return int(line.split()[1])


def _open_descriptors(process: Process) -> int:
    return len(list(Path(f'/proc/{process.pid}/fd').iterdir()))


async def _is_answered(settings: NodeSettings) -> bool:
    """Returns whether an ordinary request gets an answer of the node.

    It has no configuration, which is what the answer says.
    """
    client = HttpClient()
    request = HttpRequest('POST', '/v1/completions', body=b'{}')
    try:
        async with asyncio.timeout(ATTEMPT_S):
            _, body = await client.call_raw(settings.caller_address, request)
    except (ConnectError, ExchangeError, TimeoutError):
        return False
    finally:
        client.close()
    return b'config-missing' in body


@asynccontextmanager
async def _running_process(
    settings: NodeSettings, folder: Path
) -> AsyncIterator[Process]:
    """Runs ``catkinreachd`` until the end of the context."""
    file = folder / 'node.ini'
    file.write_text(_settings_text(settings), encoding='utf-8')
    with (folder / 'node.log').open('wb') as output:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-c',
            'from catkinreach_node.run import main; main()',
            f'--settings={file}',
            stdout=output,
            stderr=output,
        )
    try:
        yield process
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


# The process passed the memory of the smallest VM, or answered no others.
@pytest.mark.parametrize('entrance', ENTRANCES)
@pytest.mark.parametrize('kind', Misbehaviour, ids=lambda kind: kind.name)
def test_crowd_ends_a_node_or_keeps_others_out(
    tmp_path: Path, kind: Misbehaviour, entrance: str
) -> None:
    settings = make_node_settings()
    attribute, path = ENTRANCES[entrance]
    address = getattr(settings, attribute)

    async def is_served() -> bool:
        return await _is_answered(settings)

    async def run() -> None:
        async with _running_process(settings, tmp_path) as process:
            await eventually(is_served, within_s=WITHIN_S)
            async with hostile_crowd(kind, address, path, CLIENTS):
                await asyncio.sleep(SEND_S)
                most_open = _open_descriptors(process)
                await eventually(is_served, within_s=WITHIN_S)
                most_open = max(most_open, _open_descriptors(process))
            assert process.returncode is None
            assert _status_kb(process, 'VmHWM') < MEMORY_KB
            assert most_open < DESCRIPTORS

    asyncio.run(run())
