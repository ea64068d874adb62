"""Planned stops of all VMs within a short time."""

from __future__ import annotations

import asyncio
import signal
import time
from typing import TYPE_CHECKING

from catkinreach_node.http.client import HttpClient
from catkinreach_node.http.connection import ConnectError, ExchangeError
from catkinreach_standins.platform.config import OTHER_API_KEY
from catkinreach_standins.platform.processes import running_fronts

if TYPE_CHECKING:
    from pathlib import Path

    from catkinreach_standins.platform.deployment import Deployment
    from catkinreach_standins.platform.processes import FrontProcess

FRONTS = 6
DEADLINE_MS = '9000'
GRACE_S = 8
STOP_INTERVAL_S = 0.1
EVENT_GAP_S = 0.6
"""Streams of this speed last longer than all VMs listened."""

BEGIN_S = 0.3

RESTART_S = 1.5
PROBE_INTERVAL_S = 0.05
LENGTH_S = 9.0
MAX_GAP_S = 0.5


async def _keep_running(front: FrontProcess) -> None:
    """Stops a process and starts it again, as the platform does."""
    front.send_signal(signal.SIGTERM)
    await front.wait_exit(within_s=LENGTH_S)
    await asyncio.sleep(RESTART_S)
    await front.start()


async def _hold(deployment: Deployment, front: FrontProcess) -> None:
    """Sends a stream to a front, which then stays for it."""
    client = HttpClient()
    request = deployment.make_request(
        '/stream/', method='POST', key=OTHER_API_KEY, token_count='1000,100'
    )
    request.headers[:] = [
        (name, DEADLINE_MS if name == 'deadline-ms' else text)
        for name, text in request.headers
    ]
    try:
        async with client.exchange(front.caller_address, request) as response:
            await response.read()
    except (ConnectError, ExchangeError):
        return


async def _is_served(deployment: Deployment, front: FrontProcess) -> bool:
    request = deployment.make_request('/read/', key=OTHER_API_KEY)
    client = HttpClient()
    try:
        async with asyncio.timeout(1.0):
            status, _ = await client.call_raw(front.caller_address, request)
    except (ConnectError, ExchangeError, TimeoutError):
        return False
    finally:
        client.close()
    return status == 200


async def _longest_gap_s(
    deployment: Deployment, fronts: list[FrontProcess]
) -> float:
    """Returns the longest time in which no front served a new connection."""
    started_s = served_s = time.monotonic()
    longest_s = 0.0
    while time.monotonic() - started_s < LENGTH_S:
        served = await asyncio.gather(
            *(_is_served(deployment, front) for front in fronts)
        )
        now_s = time.monotonic()
        longest_s = max(longest_s, now_s - served_s)
        if any(served):
            served_s = now_s
        await asyncio.sleep(PROBE_INTERVAL_S)
    return longest_s


# All of them listened for the same time, and none was back by then.
def test_no_vm_accepts_while_all_stop(tmp_path: Path) -> None:
    async def run() -> float:
        async with running_fronts(FRONTS, tmp_path, grace_s=GRACE_S) as (
            deployment,
            fronts,
        ):
            for name in 'de':
                deployment.upstreams[name].event_gap_s = EVENT_GAP_S
            probing = asyncio.ensure_future(_longest_gap_s(deployment, fronts))
            async with asyncio.TaskGroup() as group:
                for front in fronts:
                    group.create_task(_hold(deployment, front))
                await asyncio.sleep(BEGIN_S)
                for front in fronts:
                    group.create_task(_keep_running(front))
                    await asyncio.sleep(STOP_INTERVAL_S)
            return await probing

    gap_s = asyncio.run(run())
    assert gap_s < MAX_GAP_S
