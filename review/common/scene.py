"""A small deployment: store, engines and fronts, and the end of all."""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
from contextlib import asynccontextmanager
from pathlib import Path
from typing import TYPE_CHECKING

from .config import configuration
from .fronts import make_fronts
from .record import Record
from .store import Store
from .verdict import EXIT_UNABLE

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from .engine import Engine
    from .fronts import Front

READY_WITHIN_S = 20.0


class NotReadyError(Exception):
    """The fronts didn't get ready."""


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
        NotReadyError: if it doesn't get ready.
    """
    store = Store('127.0.0.2')
    await store.start()
    for engine in engines:
        await engine.start()
        store.put(f'servers/{engine.engine_id}', engine.entry())
    store.put('op/config', configuration(routes))
    with tempfile.TemporaryDirectory() as folder:
        address = f'{store.host}:{store.port}'
        fronts = make_fronts(front_count, address, Path(folder))
        try:
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
        raise NotReadyError from error


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
        code = asyncio.run(run(record, has_trouble))
    except NotReadyError:
        record.say('the fronts did not get ready')
        code = EXIT_UNABLE
    record.say(f'disruption: {has_trouble}; exit {code}')
    record.close()
    sys.exit(code)
