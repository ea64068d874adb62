"""Aggregates the observations of a run into its result."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING

from .observation import Verdict
from .reference_limiter import count_wrongful_refusals
from .result import (
    Counts,
    EngineCounters,
    LoadResult,
    Percentiles,
    SecondResult,
    WorkspaceResult,
)
from .workload import RequestKind

if TYPE_CHECKING:
    from collections.abc import Sequence

    from catkinreach_core.settings.fleet import (
        FleetSettings,
        LatencyTargets,
        Workspace,
    )

    from .observation import Observation
    from .plan import PlanOptions
    from .provenance import Provenance
    from .workload import Workload


def summarize_load(
    observations: Sequence[Observation],
    *,
    workload: Workload,
    options: PlanOptions,
    settings: FleetSettings,
    provenance: Provenance,
    prefill: EngineCounters | None = None,
) -> LoadResult:
    """Returns the result of a run; warm-up requests are not measured.

    Wrongful refusals are counted from the start of the warm-up, whose
    requests also consume from the limits.
    """
    targets = settings.targets
    measured = [
        observation
        for observation in observations
        if observation.planned.at_s >= options.warmup_s
    ]
    model_requests = [
        observation for observation in measured if is_model(observation)
    ]
    plain_requests = [
        observation for observation in measured if not is_model(observation)
    ]
    answered_requests = [
        observation
        for observation in model_requests
        if observation.verdict is Verdict.ANSWERED
    ]
    return LoadResult(
        commit=provenance.commit,
        command=provenance.command,
        workload=workload.name,
        seed=options.seed,
        rate_per_s=options.rate_per_s,
        duration_s=options.duration_s,
        model=count_outcomes(model_requests, targets),
        plain=count_outcomes(plain_requests, targets),
        first_token=Percentiles.from_seconds(
            observation.first_token_s for observation in answered_requests
        ),
        between_tokens=Percentiles.from_seconds(
            gap_s
            for observation in answered_requests
            for gap_s in observation.gaps_s
        ),
        plain_latency=Percentiles.from_seconds(
            observation.latency_s
            for observation in plain_requests
            if observation.verdict is Verdict.ANSWERED
        ),
        send_lag=Percentiles.from_seconds(
            observation.sent_at_s - observation.planned.at_s
            for observation in measured
        ),
        workspaces=_results_by_workspace(
            observations, settings, options.warmup_s
        ),
        seconds=_results_by_second(model_requests, targets, options.warmup_s),
        prefill=prefill or EngineCounters(),
    )


def is_model(observation: Observation) -> bool:
    """Returns whether a request is for engines, not for a plain service."""
    return observation.planned.request_class.kind is RequestKind.MODEL


def is_good(observation: Observation, targets: LatencyTargets) -> bool:
    """Returns whether a request was answered within both latency targets.

    A plain answer has to be complete within the target for the first token.
    """
    if observation.verdict is not Verdict.ANSWERED:
        return False
    if not is_model(observation):
        return observation.latency_s <= targets.first_token_s
    return (
        observation.first_token_s <= targets.first_token_s
        and observation.between_tokens_s <= targets.between_tokens_s
    )


def count_outcomes(
    observations: Sequence[Observation], targets: LatencyTargets
) -> Counts:
    """Counts requests by verdict and by code."""
    verdicts = Counter(observation.verdict for observation in observations)
    codes: defaultdict[Verdict, Counter[str]] = defaultdict(Counter)
    for observation in observations:
        codes[observation.verdict][observation.code] += 1
    return Counts(
        offered=len(observations),
        answered=verdicts[Verdict.ANSWERED],
        refused=verdicts[Verdict.REFUSED],
        broken=verdicts[Verdict.BROKEN],
        good=sum(is_good(observation, targets) for observation in observations),
        refusals=dict(codes[Verdict.REFUSED]),
        breaks=dict(codes[Verdict.BROKEN]),
    )


def _results_by_workspace(
    observations: Sequence[Observation],
    settings: FleetSettings,
    warmup_s: float,
) -> dict[str, WorkspaceResult]:
    groups: defaultdict[str, list[Observation]] = defaultdict(list)
    for observation in observations:
        groups[observation.planned.workspace_id].append(observation)
    return {
        workspace_id: _workspace_result(
            group, settings.targets, workspace, warmup_s
        )
        for workspace_id, workspace in settings.workspaces.items()
        if (group := groups[workspace_id])
    }


def _workspace_result(
    group: Sequence[Observation],
    targets: LatencyTargets,
    workspace: Workspace,
    warmup_s: float,
) -> WorkspaceResult:
    measured = [
        observation
        for observation in group
        if observation.planned.at_s >= warmup_s
    ]
    model_requests = [
        observation for observation in measured if is_model(observation)
    ]
    plain_requests = [
        observation for observation in measured if not is_model(observation)
    ]
    return WorkspaceResult(
        model=count_outcomes(model_requests, targets),
        plain=count_outcomes(plain_requests, targets),
        wrongful_refusals=count_wrongful_refusals(workspace, group),
    )


def _results_by_second(
    model_requests: Sequence[Observation],
    targets: LatencyTargets,
    warmup_s: float,
) -> tuple[SecondResult, ...]:
    groups: defaultdict[int, list[Observation]] = defaultdict(list)
    for observation in model_requests:
        groups[int(observation.planned.at_s - warmup_s)].append(observation)
    return tuple(
        SecondResult(
            at_s=at_s,
            offered=len(group),
            good=sum(is_good(observation, targets) for observation in group),
            answered=sum(
                observation.verdict is Verdict.ANSWERED for observation in group
            ),
        )
        for at_s, group in sorted(groups.items())
    )


__all__ = ('count_outcomes', 'is_good', 'is_model', 'summarize_load')
