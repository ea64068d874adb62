"""A small deployment: store, engines and fronts, and the end of all."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
from contextlib import asynccontextmanager
from pathlib import Path
from typing import TYPE_CHECKING

from .config import configuration
from .fronts import make_fronts
from .record import Record
from .store import Store
from .verdict import EXIT_UNABLE, UnableError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from .engine import Engine
    from .fronts import Front

READY_WITHIN_S = 20.0
MAX_RUN_S = 115.0
"""A run ends in 120 s."""


class Scene:
    """What runs: the store, the engines and the fronts."""

    def __init__(
        self, store: Store, engines: list[Engine], fronts: list[Front]
    ) -> None:
        """Takes what was started."""
        self.store, self.engines, self.fronts = store, engines, fronts


@asynccontextmanager
async def running_scene(
    record: Record,
    engines: list[Engine],
    routes: list[dict],
    front_count: int,
    memory_mb: float | None = None,
) -> AsyncIterator[Scene]:
    """Runs a deployment; it is ready at entry.

    Raises:
        UnableError: if it doesn't get ready.
    """
    store = Store('127.0.0.2')
    fronts: list[Front] = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            await store.start()
            for engine in engines:
                await engine.start()
                store.put(f'servers/{engine.engine_id}', engine.entry())
            store.put('op/config', configuration(routes))
            address = f'{store.host}:{store.port}'
            fronts = make_fronts(front_count, address, Path(folder))
            for front in fronts:
                front.start(record, memory_mb)
            await _wait_ready(fronts)
            yield Scene(store, engines, fronts)
        finally:
            for front in fronts:
                await front.stop()
            for engine in engines:
                engine.close()
            store.close()


async def _wait_ready(fronts: list[Front]) -> None:
    try:
        async with asyncio.timeout(READY_WITHIN_S):
            while not all(front.is_ready for front in fronts):  # noqa: ASYNC110
                await asyncio.sleep(0.05)
    except TimeoutError as error:
        raise UnableError('the fronts did not get ready') from error


def run_case(
    folder: Path, run: Callable[[Record, bool], Awaitable[int]]
) -> None:
    """Runs a case and exits with its code.

    Args:
        folder: Folder of the case, for its record.
        run: Takes the record and whether there is a disruption.
    """
    record = Record(folder / 'record.txt')
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    try:
        code = asyncio.run(_run_bounded(run(record, has_trouble)))
    except (Exception, asyncio.CancelledError) as error:  # noqa: BLE001
        record.say(f'could not run: {error!r}')
        code = EXIT_UNABLE
    record.say(f'disruption: {has_trouble}; exit {code}')
    record.close()
    sys.exit(code)


async def _run_bounded(running: Awaitable[int]) -> int:
    """Returns the code of a run; SIGTERM ends it with all that it started."""
    task = asyncio.current_task()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    try:
        async with asyncio.timeout(MAX_RUN_S):
            return await running
    finally:
        others = asyncio.all_tasks() - {task}
        for other in others:
            other.cancel()
        await asyncio.gather(*others, return_exceptions=True)
