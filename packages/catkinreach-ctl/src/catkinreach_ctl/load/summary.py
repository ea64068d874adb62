"""From observations to a result."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING

from .observation import Verdict
from .reference_limiter import wrongful_refusals
from .result import (
    Counts,
    LoadResult,
    Percentiles,
    PrefillUse,
    SecondResult,
    WorkspaceResult,
)
from .workload import RequestKind

if TYPE_CHECKING:
    from collections.abc import Sequence

    from catkinreach_core.settings.fleet import (
        FleetSettings,
        Targets,
        Workspace,
    )

    from .observation import Observation
    from .plan import PlanOptions
    from .provenance import Provenance
    from .workload import Workload


def summarize(
    observations: Sequence[Observation],
    *,
    workload: Workload,
    options: PlanOptions,
    settings: FleetSettings,
    provenance: Provenance,
    prefill: PrefillUse | None = None,
) -> LoadResult:
    """Counts, times and judges what the callers saw."""
    targets = settings.targets
    measured = [
        one for one in observations if one.planned.at_s >= options.warmup_s
    ]
    model = [one for one in measured if is_model(one)]
    plain = [one for one in measured if not is_model(one)]
    streamed = [one for one in model if one.verdict is Verdict.ANSWERED]
    return LoadResult(
        commit=provenance.commit,
        command=provenance.command,
        workload=workload.name,
        seed=options.seed,
        rate_per_s=options.rate_per_s,
        duration_s=options.duration_s,
        model=count_ends(model, targets),
        plain=count_ends(plain, targets),
        first_token=Percentiles.from_seconds(
            one.first_token_s for one in streamed
        ),
        between_tokens=Percentiles.from_seconds(
            gap_s for one in streamed for gap_s in one.gaps_s
        ),
        plain_latency=Percentiles.from_seconds(
            one.latency_s for one in plain if one.verdict is Verdict.ANSWERED
        ),
        send_lag=Percentiles.from_seconds(
            one.sent_at_s - one.planned.at_s for one in measured
        ),
        workspaces=_by_workspace(observations, settings, options.warmup_s),
        seconds=_by_second(model, targets, options.warmup_s),
        prefill=prefill or PrefillUse(),
    )


def is_model(observation: Observation) -> bool:
    """Tells whether a request ran on engines."""
    return observation.planned.request_class.kind is RequestKind.MODEL


def is_good(observation: Observation, targets: Targets) -> bool:
    """Tells whether a request was answered within both targets."""
    if observation.verdict is not Verdict.ANSWERED:
        return False
    if not is_model(observation):
        return observation.latency_s <= targets.first_token_s
    return (
        observation.first_token_s <= targets.first_token_s
        and observation.between_tokens_s <= targets.between_tokens_s
    )


def count_ends(observations: Sequence[Observation], targets: Targets) -> Counts:
    """Counts how requests ended."""
    ends = Counter(one.verdict for one in observations)
    codes: defaultdict[Verdict, Counter[str]] = defaultdict(Counter)
    for one in observations:
        codes[one.verdict][one.code] += 1
    return Counts(
        offered=len(observations),
        answered=ends[Verdict.ANSWERED],
        refused=ends[Verdict.REFUSED],
        broken=ends[Verdict.BROKEN],
        good=sum(is_good(one, targets) for one in observations),
        refusals=dict(codes[Verdict.REFUSED]),
        breaks=dict(codes[Verdict.BROKEN]),
    )


def _by_workspace(
    observations: Sequence[Observation],
    settings: FleetSettings,
    warmup_s: float,
) -> dict[str, WorkspaceResult]:
    groups: defaultdict[str, list[Observation]] = defaultdict(list)
    for one in observations:
        groups[one.planned.workspace_id].append(one)
    return {
        workspace_id: _workspace_result(
            group, settings.targets, workspace, warmup_s
        )
        for workspace_id, workspace in settings.workspaces.items()
        if (group := groups[workspace_id])
    }


def _workspace_result(
    group: Sequence[Observation],
    targets: Targets,
    workspace: Workspace,
    warmup_s: float,
) -> WorkspaceResult:
    measured = [one for one in group if one.planned.at_s >= warmup_s]
    model = [one for one in measured if is_model(one)]
    plain = [one for one in measured if not is_model(one)]
    return WorkspaceResult(
        model=count_ends(model, targets),
        plain=count_ends(plain, targets),
        wrongful_refusals=wrongful_refusals(workspace, group),
    )


def _by_second(
    model: Sequence[Observation], targets: Targets, warmup_s: float
) -> tuple[SecondResult, ...]:
    groups: defaultdict[int, list[Observation]] = defaultdict(list)
    for one in model:
        groups[int(one.planned.at_s - warmup_s)].append(one)
    return tuple(
        SecondResult(
            at_s=at_s,
            offered=len(group),
            good=sum(is_good(one, targets) for one in group),
            answered=sum(one.verdict is Verdict.ANSWERED for one in group),
        )
        for at_s, group in sorted(groups.items())
    )


__all__ = ('count_ends', 'is_good', 'is_model', 'summarize')
