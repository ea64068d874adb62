"""An entry of another writer that can't be read, beside running fronts."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import TYPE_CHECKING

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))

from review.client import (  # noqa: E402
    Client,
    Outcome,
    stop_calls,
    until,
)
from review.config import PLAIN, route  # noqa: E402
from review.engine import Engine, plain_answer  # noqa: E402
from review.scene import run_case, running_scene  # noqa: E402
from review.verdict import (  # noqa: E402
    EXIT_BROKEN,
    EXIT_HELD,
    is_fault,
    is_lost_broken,
    lost_by_front,
    require_calm,
)

if TYPE_CHECKING:
    from review.record import Record

OK = 200
FRONTS = 3
CLIENTS = 36
WORK_S = 0.045
PAUSE_S = 0.03
FIELDS_MISSING_AT_S = 4.0
UNREADABLE_AT_S = 6.0
LENGTH_S = 30.0
DEADLINE_S = 2.5

NESTING = 2000
UNREADABLE = b'{"notes":' + b'[' * NESTING + b']' * NESTING + b'}'
"""No field of it names an engine; 4 KB, nested too deep for a reader."""

FIELDS_MISSING = {'service': PLAIN, 'state': 'ready'}
"""Written in both runs: it must be passed over."""


async def call_on_and_on(client: Client, seen: list[Outcome]) -> None:
    """Sends requests on a kept channel until cancelled."""
    while True:
        seen.append(await client.call('GET', '/status/x', DEADLINE_S))
        seen.append(await client.call('POST', '/claim/x', DEADLINE_S, b'slot'))
        await asyncio.sleep(PAUSE_S)


async def run(record: Record, has_trouble: bool) -> int:  # noqa: FBT001
    """Runs the case; returns the exit code."""
    engines = [
        Engine('127.0.0.3', PLAIN, record, plain_answer(WORK_S))
        for _ in range(3)
    ]
    routes = [
        route('status', 'idempotent', PLAIN),
        route('claim', 'non_idempotent', PLAIN, **{'max-attempts': 1}),
    ]
    async with running_scene(record, engines, routes, FRONTS) as scene:
        started_s = record.now_s
        seen: list[Outcome] = []
        calls = [
            asyncio.ensure_future(
                call_on_and_on(Client(record, scene.fronts, f'c{number}'), seen)
            )
            for number in range(CLIENTS)
        ]
        await until(started_s + FIELDS_MISSING_AT_S, record)
        scene.store.put('servers/i-0fields', FIELDS_MISSING)
        await until(started_s + UNREADABLE_AT_S, record)
        require_calm(seen)
        before = len(seen)
        if has_trouble:
            record.say(f'entry written: {len(UNREADABLE)} bytes')
            scene.store.put('servers/i-0unread', UNREADABLE)
        await until(started_s + LENGTH_S, record)
        await stop_calls(calls)
        for name, part in (('before', seen[:before]), ('after', seen[before:])):
            served = sum(one.status == OK for one in part)
            record.say(f'{name} the entry: {served} of {len(part)} served')
        for front in scene.fronts:
            errors = [
                line for line in front.log.splitlines() if 'Error' in line
            ]
            record.say(f'front {front.number}: {(errors or ["no error"])[-1]}')
        is_lost = is_lost_broken(lost_by_front(seen, engines), record)
        has_fault = is_fault(scene.fronts, record)
        return EXIT_BROKEN if is_lost or has_fault else EXIT_HELD


if __name__ == '__main__':
    run_case(FOLDER, run)
