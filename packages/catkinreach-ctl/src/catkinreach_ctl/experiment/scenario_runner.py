"""Runs one scenario on one bench: sends the load, performs the actions."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from catkinreach_node.http.client import HttpClient

from ..load.caller import Caller
from ..load.plan import PlanOptions, plan_requests
from ..load.runner import run_plan
from ..load.summary import summarize_load
from .capacity import capacity_per_s
from .scenario import perform_action

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from ..load.observation import Observation
    from ..load.plan import PlannedRequest
    from ..load.provenance import Provenance
    from ..load.result import LoadResult
    from ..load.runner import Progress
    from ..load.workload import Workload
    from .bench import Bench
    from .scenario import Scenario

EXPORT_EXPIRY_WAIT_S = 1.0
"""Wait before the engines' records are read, so that unused exports expire."""


def plan_scenario(
    scenario: Scenario,
    workload: Workload,
    bench: Bench,
    *,
    seed: int,
    duration_s: float,
    warmup_s: float,
) -> PlanOptions:
    """Returns the options of the load, relative to the bench's capacity."""
    capacity = capacity_per_s(workload, bench.settings, bench.rates)
    return PlanOptions(
        rate_per_s=scenario.load * capacity,
        duration_s=duration_s,
        warmup_s=warmup_s,
        seed=seed,
        surges=scenario.surges(workload),
    )


def run_scenario(
    scenario: Scenario,
    workload: Workload,
    bench: Bench,
    options: PlanOptions,
    *,
    provenance: Provenance,
    new_progress: Callable[[int], Progress],
) -> LoadResult:
    """Sends the load of a scenario, performs its steps, returns the result."""
    plan = plan_requests(workload, options)
    counters_before = bench.engine_counters()
    observations = asyncio.run(
        _run_load(scenario, bench, options, plan, new_progress(len(plan)))
    )
    return summarize_load(
        observations,
        workload=workload,
        options=options,
        settings=bench.settings,
        provenance=provenance,
        prefill=bench.engine_counters().since(counters_before),
    )


async def _run_load(
    scenario: Scenario,
    bench: Bench,
    options: PlanOptions,
    plan: Sequence[PlannedRequest],
    progress: Progress,
) -> list[Observation]:
    client = HttpClient()
    caller = Caller(client, bench.address, bench.key_of, bench.check)
    steps = asyncio.create_task(_perform_steps(scenario, bench, options))
    try:
        observations = await run_plan(plan, caller, progress)
        await steps
        await asyncio.sleep(EXPORT_EXPIRY_WAIT_S)
    finally:
        steps.cancel()
        client.close()
    return observations


async def _perform_steps(
    scenario: Scenario, bench: Bench, options: PlanOptions
) -> None:
    start_s = asyncio.get_running_loop().time()
    for step in scenario.steps:
        at_s = options.warmup_s + step.at_part * options.duration_s
        elapsed_s = asyncio.get_running_loop().time() - start_s
        await asyncio.sleep(at_s - elapsed_s)
        await asyncio.to_thread(perform_action, step.kind, bench)


__all__ = ('plan_scenario', 'run_scenario')
