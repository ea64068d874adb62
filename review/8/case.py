"""A cut watch keeps an engine in use that has left the store."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from typing import TYPE_CHECKING

from second.case import CannotRunError, has_trouble, run_case
from second.client import send
from second.engines import DecodeEngine, PrefillEngine
from second.scene import running_fronts, running_platform

from catkinreach_standins.http import ConnectionAbort, Request, Response
from catkinreach_standins.platform.store import StoreStandin

if TYPE_CHECKING:
    from second.client import Call
    from second.record import Record

    from catkinreach_standins.platform.processes import FrontProcess

HERE = Path(__file__).resolve().parent

EVENTS = 30
GAP_S = 0.07
SEND_GAP_S = 0.19
"""Pause between two streams: the 5.2 a second of the site's sheet."""

SEND_FOR_S = 5.0
FIRST_CUT_S = 0.9
REMOVED_AFTER_S = 0.3
SECOND_CUT_AFTER_S = 1.5
DRAIN_S = 2.0
"""The site's ``drain-ms``."""

LINGER_S = 1.5
"""Time beyond it for which the engine serves before it exits."""


class CuttingStore(StoreStandin):
    """A store that may cut the watches that wait."""

    def __init__(self) -> None:
        """Starts without watches."""
        super().__init__()
        self._watches: set[asyncio.Task[Response]] = set()

    def cut_watches(self) -> int:
        """Closes the connections of all watches that wait."""
        for watch in self._watches:
            watch.cancel()
        return len(self._watches)

    async def handle_request(self, request: Request) -> Response:
        """Serves a call; closes its connection if it is cut."""
        if request.path != '/kv-watch':
            return await super().handle_request(request)
        watch = asyncio.create_task(super().handle_request(request))
        self._watches.add(watch)
        try:
            await asyncio.wait({watch})
        finally:
            self._watches.discard(watch)
        if watch.cancelled():
            raise ConnectionAbort
        return watch.result()


async def send_streams(fronts: list[FrontProcess]) -> list[Call]:
    """Sends streams at a steady pace, to the fronts in turn."""
    calls = []
    for number in range(int(SEND_FOR_S / SEND_GAP_S)):
        calls.append(
            asyncio.create_task(
                send(
                    fronts[number % len(fronts)],
                    '/once/x',
                    f'stream-{number:02}',
                    headers={
                        'Model': 'm',
                        'Token-Count': '5200,330',
                        'Prompt-Prefix': f'aa:200,{number:x}1:5000',
                    },
                )
            )
        )
        await asyncio.sleep(SEND_GAP_S)
    return await asyncio.gather(*calls)


async def leave(
    store: CuttingStore, engine: DecodeEngine, record: Record
) -> float:
    """Lets an engine leave; returns when the store accepted that."""
    await asyncio.sleep(FIRST_CUT_S)
    if has_trouble():
        record.note(f'the store cuts {store.cut_watches()} watches')
    await asyncio.sleep(REMOVED_AFTER_S)
    store.remove('servers/d')
    removed_s = time.monotonic()
    record.note('the entry of engine d is removed', removed_s)
    await asyncio.sleep(SECOND_CUT_AFTER_S)
    if has_trouble():
        record.note(f'the store cuts {store.cut_watches()} watches')
    await asyncio.sleep(removed_s + DRAIN_S + LINGER_S - time.monotonic())
    record.note(f'engine d exits; it still ran {engine.exit()} streams')
    return removed_s


async def case(record: Record, folder: Path) -> str:
    """Returns how the rule was broken."""
    store = CuttingStore()
    leaving, *others = (
        DecodeEngine(name, EVENTS, GAP_S) for name in ('d', 'e', 'f')
    )
    async with (
        running_platform(store, [PrefillEngine('p'), leaving, *others]),
        running_fronts(3, store, folder) as fronts,
    ):
        streams = asyncio.create_task(send_streams(fronts))
        removed_s = await leave(store, leaving, record)
        calls = await streams
    for call in calls:
        record.note(call.text(), call.ended_s)
    for request in leaving.received:
        record.note(f'engine d: gets {request.request_id}', request.at_s)
    if not any(call.is_whole for call in calls) or not leaving.received:
        raise CannotRunError('no stream was served, or none by engine d')
    return judge(calls, leaving, removed_s)


def judge(calls: list[Call], engine: DecodeEngine, removed_s: float) -> str:
    """Returns how many streams reached an engine too late."""
    sent_s = {call.request_id: call.sent_s for call in calls}
    late = {
        request.request_id: request.at_s - removed_s
        for request in engine.received
        if sent_s[request.request_id] > removed_s + DRAIN_S
    }
    if not late:
        return ''
    lost = sum(call.request_id in late and not call.is_whole for call in calls)
    return (
        f'{len(late)} streams that clients sent over {DRAIN_S} s after the'
        f' removal reached engine d, the last one {max(late.values()):.2f} s'
        f' after it; {lost} of them were lost'
    )


if __name__ == '__main__':
    run_case(case, HERE)
