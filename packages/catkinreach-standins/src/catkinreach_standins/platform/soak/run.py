"""A run of the soak: traffic under faults, recovery, checks."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter, defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from catkinreach_node.http.client import HttpClient

from ..builds import ROOT
from ..deployment import eventually
from .callers import Callers
from .config_faults import ConfigPublisher
from .fault_injector import FaultInjector
from .history import CallEnd, CallKind, History, LinkDisruption
from .invariants import RunRecords, find_violations
from .kept_connections import check_kept_connections
from .loop_lag import record_lags
from .plan import TargetKind, make_plan
from .prompts import Prompts
from .soak_deployment import running_soak_deployment
from .timeline import write_timeline

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping
    from pathlib import Path

    from ..processes import FrontProcess
    from ..upstream import UpstreamStandin
    from .soak_deployment import SoakDeployment

RECOVERY_TIMEOUT_S: Final = 15.0
"""Time from the last fault until every front must serve every route."""

RECOVERY_PAUSE_S: Final = 0.2
CALLERS_PER_FRONT: Final = 4
TIMELINE_FILE: Final = 'timeline.jsonl'
LOG_FLUSH_S: Final = 0.3
"""Time that the fronts have to write their last log lines."""


@dataclass(frozen=True, slots=True)
class SoakOptions:
    """Options of a run.

    Attributes:
        seed: Seed of the faults and of the callers' random choices.
        duration_s: Length of the interval in which faults start.
        front_count: Number of front processes.
        folder: Folder for settings and logs of the fronts.
        has_crashing_requests: Whether some requests crash engines.
        builds: Checkouts that fronts are started from, each start draws one.
    """

    seed: int
    duration_s: float
    front_count: int
    folder: Path
    has_crashing_requests: bool = True
    builds: tuple[Path, ...] = (ROOT,)


@dataclass(frozen=True, slots=True)
class SoakResult:
    """Result of a run.

    Attributes:
        violations: A description of each violation.
        end_counts: Number of calls by route and end.
        fault_count: Number of injected faults.
        crash_count: Number of crashes of engines.
    """

    violations: list[str]
    end_counts: Mapping[tuple[CallKind, CallEnd], int]
    fault_count: int
    crash_count: int


async def run_soak(options: SoakOptions) -> SoakResult:
    """Runs the soak with one seed and checks the records."""
    rng = random.Random(options.seed)
    history = History()
    prompts = Prompts(random.Random(f'{options.seed}/prompts'))
    build_rng = random.Random(f'{options.seed}/builds')

    def choose_build() -> Path:
        return build_rng.choice(options.builds)

    async with running_soak_deployment(
        options.front_count, options.folder, options.seed, choose_build
    ) as deployment:
        plan = make_plan(
            options.seed,
            options.duration_s,
            {
                TargetKind.FRONT: tuple(deployment.fronts),
                TargetKind.UPSTREAM: tuple(deployment.upstreams),
                TargetKind.LINK: tuple(deployment.links),
            },
            has_crashing_requests=options.has_crashing_requests,
        )
        publisher = ConfigPublisher(
            deployment.store, history, random.Random(f'{options.seed}/limits')
        )
        callers = Callers(
            tuple(deployment.fronts.values()),
            history,
            rng,
            prompts,
            random.Random(f'{options.seed}/idle'),
        )
        count = CALLERS_PER_FRONT * options.front_count
        callers_task = asyncio.ensure_future(callers.run(count))
        lag_task = asyncio.ensure_future(record_lags(history))
        injector = FaultInjector(
            deployment, prompts, history, publisher, rng, choose_build
        )
        await injector.run(plan)
        callers.is_stopped = True
        await callers_task
        await _check_recovery(deployment, callers)
        await check_kept_connections(
            deployment.fronts.values(), publisher, history
        )
        await asyncio.sleep(LOG_FLUSH_S)
        lag_task.cancel()
        records = _collect_records(deployment, history)
    write_timeline(options.folder / TIMELINE_FILE, records)
    return SoakResult(
        violations=find_violations(records),
        end_counts=Counter((call.kind, call.end) for call in history.calls),
        fault_count=len(plan),
        crash_count=len(records.crashes_s),
    )


async def _check_recovery(deployment: SoakDeployment, callers: Callers) -> None:
    """Calls every route of every front until it succeeds.

    A route that doesn't succeed within the time limit is a violation. Crashing
    requests go on, but aren't expected to succeed.
    """
    until_s = time.monotonic() + RECOVERY_TIMEOUT_S
    await asyncio.gather(
        *(
            _check_front_recovery(front, callers, until_s)
            for front in deployment.fronts.values()
        )
    )


async def _check_front_recovery(
    front: FrontProcess, callers: Callers, until_s: float
) -> None:
    name = f'front-{front.number}'
    violations = callers.history.violations
    client = HttpClient()
    try:
        await eventually(front.is_ready, within_s=RECOVERY_TIMEOUT_S)
    except TimeoutError:
        violations.append(f'{name} is not ready')
    for kind in CallKind:
        record = await callers.call(
            client, kind, front.number, may_cancel=False
        )
        while record.end is not CallEnd.ANSWERED and time.monotonic() < until_s:
            await asyncio.sleep(RECOVERY_PAUSE_S)
            record = await callers.call(
                client, kind, front.number, may_cancel=False
            )
        if record.end is not CallEnd.ANSWERED:
            violations.append(
                f'{name} does not serve {kind.value} after the faults:'
                f' {record.end.value} {record.code}'
            )
    client.close()


def _collect_records(
    deployment: SoakDeployment, history: History
) -> RunRecords:
    runs: Counter[str] = Counter()
    sends: defaultdict[str, list[float]] = defaultdict(list)
    prefills: defaultdict[str, list[float]] = defaultdict(list)
    upstreams = deployment.upstreams.values()
    for upstream in upstreams:
        runs.update(upstream.runs)
        history.link_disruptions += (
            LinkDisruption(upstream.upstream_id, crash_s, crash_s)
            for crash_s in upstream.crashes_s
        )
        for received in upstream.received:
            arrivals = prefills if received.is_prefill else sends
            arrivals[received.request_id].append(received.at_s)
    return RunRecords(
        history=history,
        runs=runs,
        sends=sends,
        logs={front.number: front.log for front in deployment.fronts.values()},
        prefills=prefills,
        upstreams_by_id=_upstreams_by_id(upstreams),
        faulty_ids=frozenset().union(
            *(upstream.faulty_ids for upstream in upstreams)
        ),
        crashes_s=sorted(
            crash_s for upstream in upstreams for crash_s in upstream.crashes_s
        ),
        availability=[upstream.availability for upstream in upstreams],
    )


def _upstreams_by_id(
    upstreams: Iterable[UpstreamStandin],
) -> Mapping[str, set[str]]:
    """Returns the ids of the upstreams that ran each request."""
    found: defaultdict[str, set[str]] = defaultdict(set)
    for upstream in upstreams:
        for request_id in upstream.runs:
            found[request_id].add(upstream.upstream_id)
    return found


__all__ = ('SoakOptions', 'SoakResult', 'run_soak')
