"""The store, the engines' entries and the fronts of a small deployment."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from catkinreach_standins.platform.config import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    make_config,
    make_route,
)
from catkinreach_standins.platform.processes import FrontProcess, make_fronts

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence
    from pathlib import Path

    from catkinreach_standins.platform.store import StoreStandin
    from catkinreach_standins.platform.upstream import UpstreamStandin

STREAM_TIMEOUT_MS = 14_000
PLAIN_TIMEOUT_MS = 1_200
SETTLE_S = 2.0
"""Time in which the fronts have heard of each other."""


def small_config(version: int = 5) -> dict[str, object]:
    """Returns a configuration with the routes and times of a small site."""
    return make_config(
        version,
        routes=[
            make_route(
                'read',
                'idempotent',
                PLAIN_SERVICE,
                **{
                    'timeout-ms': PLAIN_TIMEOUT_MS,
                    'target-latency-ms': 200,
                    'priority': 2,
                },
            ),
            make_route(
                'order',
                'non_idempotent',
                PLAIN_SERVICE,
                **{
                    'timeout-ms': PLAIN_TIMEOUT_MS,
                    'target-latency-ms': 200,
                    'priority': 2,
                    'max-attempts': 1,
                },
            ),
            make_route(
                'stream',
                'streaming',
                MODEL_SERVICE,
                resumable=True,
                **{'timeout-ms': STREAM_TIMEOUT_MS},
            ),
            make_route(
                'once',
                'streaming',
                MODEL_SERVICE,
                **{'timeout-ms': STREAM_TIMEOUT_MS, 'max-attempts': 1},
            ),
        ],
    )


@asynccontextmanager
async def running_platform(
    store: StoreStandin, engines: Sequence[UpstreamStandin]
) -> AsyncIterator[None]:
    """Runs the store, with a configuration, and engines that it lists."""
    await store.start()
    store.put('op/config', small_config())
    for engine in engines:
        await engine.start()
        store.put(f'servers/{engine.upstream_id}', engine.entry())
    try:
        yield
    finally:
        for engine in engines:
            engine.close()
        await store.close()


@asynccontextmanager
async def running_fronts(
    count: int, store: StoreStandin, folder: Path, **fields: str
) -> AsyncIterator[list[FrontProcess]]:
    """Runs front processes until the end of the context.

    Args:
        count: Number of fronts.
        store: The store, which holds the configuration.
        folder: Folder for settings and logs.
        **fields: Further fields of the settings, with ``__`` for ``.``.
    """
    fronts = make_fronts(count, store.port, folder)
    changed = {'bounds.grace-s': '8', **_named(fields)}
    for front in fronts:
        for name, text in changed.items():
            front.set_field(name, text)
    try:
        await asyncio.gather(*(front.start() for front in fronts))
        await asyncio.sleep(SETTLE_S)
        yield fronts
    finally:
        await asyncio.gather(*(front.kill() for front in fronts))


def _named(fields: dict[str, str]) -> dict[str, str]:
    return {name.replace('__', '.'): text for name, text in fields.items()}
