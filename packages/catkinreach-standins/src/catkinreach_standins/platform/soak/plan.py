"""Draws the faults of a run from its seed."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping, Sequence

MEAN_INTERVAL_S: Final = 0.45
"""Mean time between the starts of two faults; faults may overlap."""

MIN_DURATION_S: Final = 0.1
MAX_DURATION_S: Final = 3.0
SERIES_PROBABILITY: Final = 0.3
"""Probability that a fault is repeated at its target, as a series."""

MEAN_LATER_INTERVAL_S: Final = 2.0
"""Like the mean interval above, for the kinds that were added later."""

MEAN_VERSION_INTERVAL_S: Final = 2.0
"""Like the mean interval above, for the kinds that concern versions."""

MEAN_CROWD_INTERVAL_S: Final = 4.0
"""Like the mean interval above, for crowds of clients."""

MAX_DRAIN_DELAY_S: Final = 1.7
"""Maximum time from SIGTERM to a second signal; a front drains longer."""

MAX_FAULTS_IN_SERIES: Final = 4
MAX_SERIES_INTERVAL_S: Final = 0.3

MIN_CRASHING_START: Final = 0.1
MAX_CRASHING_START: Final = 0.5
"""With the value above: start of the crashing requests, as a share of a run."""

MIN_CRASHING_DURATION_S: Final = 10.0
MAX_CRASHING_DURATION_S: Final = 14.0


MAX_LIMIT_START: Final = 0.3
"""Latest start of an upstream's limit, as a share of a run."""


class TargetKind(Enum):
    """Component that a fault affects."""

    FRONT = 'front'
    UPSTREAM = 'upstream'
    ENGINE = 'engine'
    """Decode engine, in runs of two software versions."""

    STORE = 'store'
    LINK = 'link'
    CALLERS = 'callers'


class FaultKind(Enum):
    """Faults of a run, each with the kind of its target."""

    KILL = ('kill', TargetKind.FRONT)
    """SIGKILL, then a restart."""

    ROLL = ('roll', TargetKind.FRONT)
    """SIGTERM, then a restart after the exit."""

    PAUSE = ('pause', TargetKind.FRONT)
    """SIGSTOP, then SIGCONT."""

    RELOAD = ('reload', TargetKind.FRONT)
    """SIGHUP."""

    RESET = ('reset', TargetKind.LINK)
    CUT = ('cut', TargetKind.LINK)
    STALL = ('hold-back', TargetKind.LINK)
    LOSE_UP = ('lose-up', TargetKind.LINK)
    """Bytes to the target are lost."""

    LOSE_DOWN = ('lose-down', TargetKind.LINK)
    """Bytes from the target are lost."""

    DELAY = ('delay', TargetKind.LINK)
    STORE_BUSY = ('store-busy', TargetKind.STORE)
    STORE_LIMITS = ('store-limits', TargetKind.STORE)
    STORE_RESETS = ('store-resets', TargetKind.STORE)
    STORE_SILENT = ('store-silent', TargetKind.STORE)
    STORE_COMPACTS = ('store-compacts', TargetKind.STORE)
    CONFIGURE = ('configure', TargetKind.STORE)
    """A new version of the configuration is published."""

    MISBEHAVE = ('misbehave', TargetKind.UPSTREAM)
    """The next requests are handled with behaviours drawn at random."""

    DRAIN = ('drain', TargetKind.UPSTREAM)
    """The upstream's entry has the state ``draining`` for a time."""

    DELIST = ('delist', TargetKind.UPSTREAM)
    """The upstream's entry is missing for a time."""

    CRASHING_REQUESTS = ('crashing-requests', TargetKind.CALLERS)
    """Some streams hold a part of a prompt that crashes each engine."""

    KILL_DRAINING = ('kill-draining', TargetKind.FRONT)
    """SIGTERM, SIGKILL while the process drains, then a restart."""

    RELOAD_DRAINING = ('reload-draining', TargetKind.FRONT)
    """As above with SIGHUP and changed settings instead of SIGKILL."""

    STOP_DRAINING = ('stop-draining', TargetKind.FRONT)
    """As above with a second SIGTERM."""

    CHANGE_SETTINGS = ('change-settings', TargetKind.FRONT)
    """The settings file changes, with SIGHUP."""

    CHANGE_LIMITS = ('change-limits', TargetKind.STORE)
    """A configuration has other limits for callers for a time."""

    LARGE_CONFIG = ('large-config', TargetKind.STORE)
    """A configuration has thousands of routes for a time."""

    LEAVE = ('leave', TargetKind.UPSTREAM)
    """All answers say that the upstream leaves, while it is listed as ready;
    then it starts anew under its id."""

    LEAVE_FOR_OTHER = ('leave-for-other', TargetKind.UPSTREAM)
    """As above, listed as draining; then another id is at the address."""

    ASK_PAUSE = ('ask-pause', TargetKind.UPSTREAM)
    """The upstream refuses requests and says for how long."""

    ASK_PAUSE_ALL = ('ask-pause-all', TargetKind.UPSTREAM)
    """All upstreams of its service do so at once."""

    REFUSE = ('refuse', TargetKind.UPSTREAM)
    """The upstream refuses requests and doesn't say for how long."""

    NAME_LIMIT = ('name-limit', TargetKind.UPSTREAM)
    """All answers name the requests a second that the upstream takes."""

    CROWD = ('crowd', TargetKind.FRONT)
    """Clients that don't behave, at an address of the front for a time."""

    REPLACE_VERSION = ('replace-version', TargetKind.ENGINE)
    """As for ``leave-for-other``; the other id has another software version, no
    prompts and no work."""

    KILL_ALL = ('kill-all', TargetKind.FRONT)
    """SIGKILL of all fronts at once, and at once a restart of each."""

    @property
    def target_kind(self) -> TargetKind:
        """Returns the kind of component that the fault affects."""
        target_kind: TargetKind = self.value[1]
        return target_kind


DRAINING_KINDS: Final = frozenset(
    {
        FaultKind.KILL_DRAINING,
        FaultKind.RELOAD_DRAINING,
        FaultKind.STOP_DRAINING,
    }
)
"""Kinds that send a second signal; the duration is the time until then."""

LATER_KINDS: Final = (
    FaultKind.KILL_DRAINING,
    FaultKind.RELOAD_DRAINING,
    FaultKind.STOP_DRAINING,
    FaultKind.CHANGE_SETTINGS,
    FaultKind.CHANGE_LIMITS,
    FaultKind.LARGE_CONFIG,
)
"""Kinds with a random source of their own: older seeds keep their faults."""

ENGINE_KINDS: Final = (
    FaultKind.LEAVE,
    FaultKind.LEAVE_FOR_OTHER,
    FaultKind.ASK_PAUSE,
    FaultKind.ASK_PAUSE_ALL,
    FaultKind.REFUSE,
)
"""Kinds, added after the later ones, with a random source of their own."""

VERSION_KINDS: Final = (FaultKind.REPLACE_VERSION, FaultKind.KILL_ALL)
"""Kinds of runs of two versions, with a random source of their own."""

RANDOM_KINDS: Final = tuple(
    kind
    for kind in FaultKind
    if kind
    not in {
        FaultKind.CRASHING_REQUESTS,
        FaultKind.CROWD,
        FaultKind.NAME_LIMIT,
        *LATER_KINDS,
        *ENGINE_KINDS,
        *VERSION_KINDS,
    }
)
"""Kinds that are drawn for the whole run."""


@dataclass(frozen=True, slots=True)
class Fault:
    """A scheduled fault.

    Attributes:
        kind: What the fault does.
        target: Name of the front, upstream or link; empty for the store.
        at_s: Seconds from the start of the run.
        duration_s: Duration; unused for one-time faults.
    """

    kind: FaultKind
    target: str
    at_s: float
    duration_s: float


def make_plan(
    seed: int,
    duration_s: float,
    targets: Mapping[TargetKind, Sequence[str]],
    *,
    has_crashing_requests: bool = True,
) -> tuple[Fault, ...]:
    """Returns the faults of a run in the order of their start.

    Args:
        seed: Seed of the faults.
        duration_s: Length of the interval in which faults start.
        targets: Names of the components by their kind.
        has_crashing_requests: Whether there are crashing requests; the other
            faults are the same with and without them.
    """
    faults = [
        *_draw_faults(
            random.Random(seed),
            duration_s,
            targets,
            RANDOM_KINDS,
            MEAN_INTERVAL_S,
        ),
        *_draw_faults(
            random.Random(f'{seed}/later'),
            duration_s,
            targets,
            LATER_KINDS,
            MEAN_LATER_INTERVAL_S,
        ),
        *_draw_faults(
            random.Random(f'{seed}/engines'),
            duration_s,
            targets,
            ENGINE_KINDS,
            MEAN_LATER_INTERVAL_S,
        ),
        *_draw_faults(
            random.Random(f'{seed}/crowds'),
            duration_s,
            targets,
            (FaultKind.CROWD,),
            MEAN_CROWD_INTERVAL_S,
        ),
    ]
    faults.append(
        _draw_limit(random.Random(f'{seed}/limit'), duration_s, targets)
    )
    if targets.get(TargetKind.ENGINE):
        faults += _draw_faults(
            random.Random(f'{seed}/versions'),
            duration_s,
            targets,
            VERSION_KINDS,
            MEAN_VERSION_INTERVAL_S,
        )
    if has_crashing_requests:
        faults.append(
            _draw_crashing(random.Random(f'{seed}/crashing'), duration_s)
        )
    return tuple(sorted(faults, key=lambda fault: fault.at_s))


def _draw_faults(
    rng: random.Random,
    duration_s: float,
    targets: Mapping[TargetKind, Sequence[str]],
    kinds: Sequence[FaultKind],
    mean_interval_s: float,
) -> Iterator[Fault]:
    at_s = 0.0
    while (at_s := at_s + rng.expovariate(1 / mean_interval_s)) < duration_s:
        kind = rng.choice(kinds)
        target = rng.choice(targets.get(kind.target_kind) or ('',))
        is_series = rng.random() < SERIES_PROBABILITY
        count = rng.randint(2, MAX_FAULTS_IN_SERIES) if is_series else 1
        max_duration_s = (
            MAX_DRAIN_DELAY_S if kind in DRAINING_KINDS else MAX_DURATION_S
        )
        start_s = at_s
        for _ in range(count):
            fault_duration_s = (
                rng.uniform(MIN_DURATION_S, max_duration_s) / count
            )
            yield Fault(kind, target, start_s, fault_duration_s)
            start_s += fault_duration_s + rng.uniform(0, MAX_SERIES_INTERVAL_S)


def _draw_limit(
    rng: random.Random,
    duration_s: float,
    targets: Mapping[TargetKind, Sequence[str]],
) -> Fault:
    """Returns a limit that holds for most of the run."""
    target = rng.choice(targets[TargetKind.UPSTREAM])
    start_s = duration_s * rng.uniform(0.0, MAX_LIMIT_START)
    return Fault(FaultKind.NAME_LIMIT, target, start_s, duration_s - start_s)


def _draw_crashing(rng: random.Random, duration_s: float) -> Fault:
    start_s = duration_s * rng.uniform(MIN_CRASHING_START, MAX_CRASHING_START)
    fault_duration_s = rng.uniform(
        MIN_CRASHING_DURATION_S, MAX_CRASHING_DURATION_S
    )
    return Fault(FaultKind.CRASHING_REQUESTS, '', start_s, fault_duration_s)


__all__ = (
    'DRAINING_KINDS',
    'ENGINE_KINDS',
    'LATER_KINDS',
    'VERSION_KINDS',
    'Fault',
    'FaultKind',
    'TargetKind',
    'make_plan',
)
