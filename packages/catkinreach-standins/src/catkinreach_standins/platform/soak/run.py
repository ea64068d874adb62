"""One run of the soak: traffic, faults, recovery, checks."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter, defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from catkinreach_node.http.client import HttpClient

from ..deployment import eventually
from .callers import Callers
from .fault_injector import FaultInjector
from .history import CallEnd, CallKind, History
from .invariants import Evidence, violations
from .plan import Subject, make_plan
from .site import running_site

if TYPE_CHECKING:
    from collections.abc import Mapping
    from pathlib import Path

    from .site import Site

RECOVER_S: Final = 15.0
"""Time after the last fault in which every front must serve every route."""

CALLERS_PER_FRONT: Final = 4
LAST_LINES_S: Final = 0.3


@dataclass(frozen=True, slots=True)
class SoakOptions:
    """What a run is drawn from.

    Attributes:
        seed: Seed of faults and callers.
        duration_s: Time of faults.
        front_count: Front processes.
        folder: Where settings and logs of the fronts go.
    """

    seed: int
    duration_s: float
    front_count: int
    folder: Path


@dataclass(frozen=True, slots=True)
class SoakResult:
    """What a run showed.

    Attributes:
        violations: A line for each violation.
        ends: Calls by route and end.
        fault_count: Faults that were brought about.
    """

    violations: list[str]
    ends: Mapping[tuple[CallKind, CallEnd], int]
    fault_count: int


async def run_soak(options: SoakOptions) -> SoakResult:
    """Runs one seed."""
    rng = random.Random(options.seed)
    history = History()
    async with running_site(
        options.front_count, options.folder, options.seed
    ) as site:
        plan = make_plan(
            options.seed,
            options.duration_s,
            {
                Subject.FRONT: tuple(site.fronts),
                Subject.UPSTREAM: tuple(site.upstreams),
                Subject.LINK: tuple(site.links),
            },
        )
        callers = Callers(tuple(site.fronts.values()), history, rng)
        count = CALLERS_PER_FRONT * options.front_count
        calling = asyncio.ensure_future(callers.run(count))
        await FaultInjector(site, history, rng).run(plan)
        callers.is_over = True
        await calling
        await _check_recovery(site, callers)
        await asyncio.sleep(LAST_LINES_S)
        evidence = _evidence(site, history)
    return SoakResult(
        violations=violations(evidence),
        ends=Counter((one.kind, one.end) for one in history.calls),
        fault_count=len(plan),
    )


async def _check_recovery(site: Site, callers: Callers) -> None:
    """Calls every route of every front until it answers."""
    until_s = time.monotonic() + RECOVER_S
    client = HttpClient()
    for name, front in site.fronts.items():
        number = front.number
        try:
            await eventually(front.is_ready, within_s=RECOVER_S)
        except TimeoutError:
            callers.history.violations.append(f'{name} is not ready')
        for kind in CallKind:
            record = await callers.call(client, kind, number)
            while (
                record.end is not CallEnd.ANSWERED
                and time.monotonic() < until_s
            ):
                await asyncio.sleep(0.2)
                record = await callers.call(client, kind, number)
            if record.end is not CallEnd.ANSWERED:
                callers.history.violations.append(
                    f'{name} does not serve {kind.value} after the faults:'
                    f' {record.end.value} {record.code}'
                )
    client.close()


def _evidence(site: Site, history: History) -> Evidence:
    runs: Counter[str] = Counter()
    sends: defaultdict[str, list[float]] = defaultdict(list)
    for upstream in site.upstreams.values():
        runs.update(upstream.runs)
        for received in upstream.received:
            if not received.is_prefill:
                sends[received.request_id].append(received.at_s)
    return Evidence(
        history=history,
        runs=runs,
        sends=sends,
        logs={one.number: one.log for one in site.fronts.values()},
    )


__all__ = ('SoakOptions', 'SoakResult', 'run_soak')
