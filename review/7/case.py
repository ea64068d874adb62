"""Streams reach an engine that has been leaving since before their prefill."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from typing import TYPE_CHECKING

from second.case import CannotRunError, has_trouble, run_case
from second.client import send
from second.engines import DecodeEngine, PrefillEngine
from second.scene import running_fronts, running_platform

from catkinreach_standins.platform.store import StoreStandin

if TYPE_CHECKING:
    from second.client import Call
    from second.record import Record

    from catkinreach_standins.platform.processes import FrontProcess

HERE = Path(__file__).resolve().parent

EVENTS = 30
GAP_S = 0.07
STREAMS = 10
PROMPT_TOKENS = 11_000
"""The longest prompt of the site."""

SEND_GAP_S = 0.005
SILENCE_S = 1.4
"""A sound server may fall silent for a second or so."""

DRAIN_AFTER_S = 0.1
DRAIN_S = 2.0
"""The site's ``drain-ms``."""

LINGER_S = 1.5
"""Time beyond it for which the engine serves before it exits."""


async def leave(
    engine: DecodeEngine, store: StoreStandin, record: Record
) -> float:
    """Lets an engine leave; returns when the store accepted its report."""
    await asyncio.sleep(DRAIN_AFTER_S)
    store.put('servers/d', engine.entry(state='draining'))
    accepted_s = time.monotonic()
    record.note('the store accepts that engine d drains', accepted_s)
    await asyncio.sleep(DRAIN_S + LINGER_S)
    cut = engine.exit()
    record.note(f'engine d exits; it still ran {cut} streams')
    return accepted_s


async def send_burst(fronts: list[FrontProcess]) -> list[Call]:
    """Sends the streams of a burst, to the fronts in turn."""
    calls = []
    for number in range(STREAMS):
        calls.append(
            asyncio.create_task(
                send(
                    fronts[number % len(fronts)],
                    '/once/x',
                    f'stream-{number}',
                    headers={
                        'Model': 'm',
                        'Token-Count': f'{PROMPT_TOKENS},330',
                        'Prompt-Prefix': f'aa:200,{number:x}1:10800',
                    },
                )
            )
        )
        await asyncio.sleep(SEND_GAP_S)
    return await asyncio.gather(*calls)


async def case(record: Record, folder: Path) -> str:
    """Returns how the rule was broken."""
    store = StoreStandin()
    prefill = PrefillEngine('p')
    leaving, other = (DecodeEngine(name, EVENTS, GAP_S) for name in ('d', 'e'))
    accepted_s = float('inf')
    async with (
        running_platform(store, [prefill, leaving, other]),
        running_fronts(3, store, folder) as fronts,
    ):
        prefill.fall_silent(SILENCE_S)
        record.note(f'the prefill engine falls silent for {SILENCE_S} s')
        burst = asyncio.create_task(send_burst(fronts))
        if has_trouble():
            accepted_s = await leave(leaving, store, record)
        calls = await burst
    for call in calls:
        record.note(call.text(), call.ended_s)
    for engine in (leaving, other):
        for request in engine.received:
            text = f'engine {engine.upstream_id}: gets {request.request_id}'
            record.note(text, request.at_s)
    if not any(call.is_whole for call in calls):
        raise CannotRunError('no stream was served')
    return judge(calls, leaving, accepted_s)


def judge(calls: list[Call], engine: DecodeEngine, accepted_s: float) -> str:
    """Returns which streams reached an engine too late."""
    late = {
        request.request_id: request.at_s - accepted_s
        for request in engine.received
        if request.at_s > accepted_s + DRAIN_S
    }
    if not late:
        return ''
    lost = sum(call.request_id in late and not call.is_whole for call in calls)
    delays = ', '.join(
        f'{request_id} after {after_s:.2f} s'
        for request_id, after_s in late.items()
    )
    return f'engine d got {delays}; {lost} of these were lost'


if __name__ == '__main__':
    run_case(case, HERE)
