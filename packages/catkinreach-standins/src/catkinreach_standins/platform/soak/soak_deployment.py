"""Deployment of a run: stand-ins behind faulty links, and front processes."""

from __future__ import annotations

import asyncio
import random
from contextlib import asynccontextmanager
from functools import partial
from typing import TYPE_CHECKING, Final

from ...bench.ports import free_ports
from ...faultproxy.faults import LinkPlan
from ...faultproxy.link import Link
from ..builds import ROOT
from ..config import MODEL_SERVICE, PLAIN_SERVICE, make_config
from ..deployment import LOOPBACK
from ..processes import make_fronts
from ..store import StoreStandin
from ..upstream import UpstreamStandin
from .config_faults import FIRST_VERSION
from .history import STORE_LINK
from .prompts import CRASHING_PART

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable
    from pathlib import Path

EVENT_GAP_S: Final = 0.05


class SoakDeployment:
    """Stand-ins, the links to them, and the front processes, by name.

    Attributes:
        store: Stand-in of the store.
        upstreams: Stand-ins of upstreams by id.
        links: Links to the store and to upstreams, by the name of the target.
        fronts: Front processes by name.
    """

    def __init__(self, front_count: int, folder: Path, seed: int) -> None:
        """Chooses free ports; nothing runs yet."""
        self.store = StoreStandin()
        self.upstreams = {
            upstream.upstream_id: upstream
            for upstream in (
                UpstreamStandin('a', PLAIN_SERVICE),
                UpstreamStandin('b', PLAIN_SERVICE),
                UpstreamStandin('c', PLAIN_SERVICE),
                UpstreamStandin('p', MODEL_SERVICE, 'prefill'),
                UpstreamStandin(
                    'd',
                    MODEL_SERVICE,
                    'decode',
                    event_gap_s=EVENT_GAP_S,
                    crashing_part=CRASHING_PART,
                ),
                UpstreamStandin(
                    'e',
                    MODEL_SERVICE,
                    'decode',
                    event_gap_s=EVENT_GAP_S,
                    crashing_part=CRASHING_PART,
                ),
            )
        }
        names = (STORE_LINK, *self.upstreams)
        self._ports = dict(zip(names, free_ports(len(names)), strict=True))
        self._upstream_ports = dict(
            zip(self.upstreams, free_ports(len(self.upstreams)), strict=True)
        )
        self._seed = seed
        self._sequence = 1
        self.links: dict[str, Link] = {}
        self.fronts = {
            f'front-{number}': front
            for number, front in enumerate(
                make_fronts(front_count, self._ports[STORE_LINK], folder)
            )
        }

    async def start(self) -> None:
        """Starts stand-ins and links, then all fronts concurrently."""
        await self.store.start()
        await self._start_link(STORE_LINK, f'{LOOPBACK}:{self.store.port}')
        for name, upstream in self.upstreams.items():
            await upstream.start(self._upstream_ports[name])
            await self._start_link(name, upstream.address)
            # Callers of a crashed process find no listener at its address.
            link = self.links[name]
            upstream.on_crash = link.close
            upstream.on_restart = partial(link.start, LOOPBACK)
        self.store.put('op/config', make_config(FIRST_VERSION))
        for upstream in self.upstreams.values():
            self.publish_upstream(upstream)
        await asyncio.gather(*(front.start() for front in self.fronts.values()))

    def publish_upstream(
        self, upstream: UpstreamStandin, **changed: object
    ) -> None:
        """Writes an upstream's entry to the store.

        The entry has the address of the link and a new sequence number.

        Args:
            upstream: Stand-in of the upstream.
            **changed: Members that replace those of its own entry.
        """
        self._sequence += 1
        name = upstream.upstream_id
        key = f'servers/{upstream.instance_id}'
        entry = upstream.entry(
            address=f'{LOOPBACK}:{self._ports[name]}',
            sequence=self._sequence,
            **changed,
        )
        self.store.put(key, entry)

    def remove_upstream(self, upstream: UpstreamStandin) -> None:
        """Removes an upstream's entry from the store."""
        self.store.remove(f'servers/{upstream.instance_id}')

    async def close(self) -> None:
        """Kills the running fronts, then closes links and stand-ins."""
        await asyncio.gather(*(front.kill() for front in self.fronts.values()))
        for link in self.links.values():
            link.close()
        for upstream in self.upstreams.values():
            upstream.close()
        await self.store.close()

    async def _start_link(self, name: str, target: str) -> None:
        plan = LinkPlan(name=name, port=self._ports[name], target=target)
        link = Link(plan, random.Random(f'{self._seed}/{name}'))
        await link.start(LOOPBACK)
        self.links[name] = link


@asynccontextmanager
async def running_soak_deployment(
    front_count: int,
    folder: Path,
    seed: int,
    choose_build: Callable[[], Path] = lambda: ROOT,
) -> AsyncIterator[SoakDeployment]:
    """Runs the deployment of a soak.

    Args:
        front_count: Number of front processes.
        folder: Folder for their settings and logs.
        seed: Seed of the links' choices.
        choose_build: Returns the checkout that a front starts from.
    """
    deployment = SoakDeployment(front_count, folder, seed)
    for front in deployment.fronts.values():
        front.build = choose_build()
    try:
        await deployment.start()
        yield deployment
    finally:
        await deployment.close()


__all__ = ('SoakDeployment', 'running_soak_deployment')
