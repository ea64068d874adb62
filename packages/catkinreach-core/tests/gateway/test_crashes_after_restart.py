"""Requests that crash upstreams while all nodes start again."""

from __future__ import annotations

import random

import msgspec
import pytest

from catkinreach_core.gateway.crash_memory import UNKNOWN_PAST_S
from catkinreach_core.gateway.crash_reports import CrashReport
from catkinreach_core.gateway.crash_suspects import (
    CRASHES_TO_REFUSE,
    MIN_REFUSAL_S,
    CrashSource,
    CrashSuspects,
    SuspectKey,
)

REQUEST = SuspectKey('request')
HARMLESS = SuspectKey('harmless part')
ENGINES = 6
NODES = 3

MAX_RETRIES = 3
KNOWN_AFTER_S = 3.0
"""Time from the last crash that is needed until its request is known."""

WATCHED_S = 35.0
"""Time for which the retries after a restart are counted."""


class Fleet:
    """Nodes that tell each other all they know after each event.

    Attributes:
        crashes_s: Times of all crashes.
    """

    def __init__(self, rng: random.Random) -> None:
        """Starts all nodes at 0."""
        self._rng = rng
        self._nodes: list[CrashSuspects] = []
        self.crashes_s: list[float] = []
        self.restart(0.0)

    def restart(self, now_s: float, spread_s: float = 0.0) -> None:
        """Ends all nodes at once and starts them within some time."""
        self._nodes = [
            CrashSuspects(started_s=now_s + self._rng.uniform(0, spread_s))
            for _ in range(NODES)
        ]

    def restart_one(self, now_s: float) -> CrashSuspects:
        """Starts one node again; it hears the others."""
        self._nodes[0] = CrashSuspects(started_s=now_s)
        self._tell(now_s)
        return self._nodes[0]

    def send_crashing(self, now_s: float) -> None:
        """Sends the request to a node, and on to an upstream if it may run."""
        node = self._rng.choice(self._nodes)
        if node.is_quarantined([REQUEST], now_s):
            return
        source = CrashSource(len(self.crashes_s) % ENGINES)
        self.crashes_s.append(now_s)
        node.record_crash([REQUEST], source, now_s)
        self._tell(now_s + 0.1)

    def run(self, key: SuspectKey, now_s: float) -> None:
        """Runs a harmless request at one node."""
        self._rng.choice(self._nodes).clear_now([key], now_s)
        self._tell(now_s)

    def lose_engines(self, key: SuspectKey, times_s: list[float]) -> None:
        """Loses engines, each while a request with the key starts on it."""
        for number, at_s in enumerate(times_s):
            node = self._rng.choice(self._nodes)
            node.record_crash([key], CrashSource(number), at_s)
            self._tell(at_s)

    def refused_s(self, key: SuspectKey, from_s: float) -> float:
        """Returns for how long all nodes refuse a key."""
        step_s = 0.5
        now_s = from_s
        while all(
            node.is_quarantined([key], now_s, begins_run=False)
            for node in self._nodes
        ):
            now_s += step_s
        return now_s - from_s

    def _tell(self, now_s: float) -> None:
        for sender in self._nodes:
            report = sender.report(now_s)
            for receiver in self._nodes:
                if receiver is not sender and report.suspects:
                    receiver.merge(report, now_s)


def _late_retries(fleet: Fleet, restart_s: float) -> int:
    """Returns the retries since the request should be known."""
    known_s = fleet.crashes_s[CRASHES_TO_REFUSE - 1] + KNOWN_AFTER_S
    return sum(at_s > max(known_s, restart_s) for at_s in fleet.crashes_s)


def _send_on(fleet: Fleet, from_s: float, until_s: float, gap_s: float) -> None:
    now_s = from_s
    while now_s < until_s:
        fleet.send_crashing(now_s)
        now_s += gap_s


@pytest.mark.parametrize('gap_s', [0.5, 1.2, 2.5, 4.5, 6.0, 9.0])
@pytest.mark.parametrize('seed', range(20))
def test_refused_request_runs_four_times_after_a_restart(
    seed: int, gap_s: float
) -> None:
    # review/10: three upstreams crashed anew, then one more after 20 s.
    rng = random.Random(seed)
    fleet = Fleet(rng)
    restart_s = CRASHES_TO_REFUSE * gap_s + rng.uniform(0, MIN_REFUSAL_S / 2)
    _send_on(fleet, 0.0, restart_s, gap_s)
    assert len(fleet.crashes_s) == CRASHES_TO_REFUSE
    fleet.restart(restart_s, spread_s=1.0)
    first_s = restart_s + 1.0 + rng.uniform(0, 5.0)
    _send_on(
        fleet,
        first_s,
        first_s + CRASHES_TO_REFUSE * gap_s + WATCHED_S,
        gap_s,
    )
    assert _late_retries(fleet, restart_s) <= MAX_RETRIES


@pytest.mark.parametrize('gap_s', [0.1, 2.0, 4.5])
def test_harmless_part_that_ran_is_refused_for_longer(gap_s: float) -> None:
    fleet = Fleet(random.Random(1))
    fleet.run(HARMLESS, 1.0)
    losses_s = [2.0 + gap_s * number for number in range(CRASHES_TO_REFUSE)]
    fleet.lose_engines(HARMLESS, losses_s)
    assert fleet.refused_s(HARMLESS, losses_s[-1]) <= MIN_REFUSAL_S


def test_part_at_engines_lost_together_is_refused_for_minutes() -> None:
    fleet = Fleet(random.Random(1))
    losses_s = [2.0, 2.1, 2.2]
    fleet.lose_engines(HARMLESS, losses_s)
    assert fleet.refused_s(HARMLESS, losses_s[-1]) <= 2 * MIN_REFUSAL_S


def test_crashes_long_after_a_start_count_as_trials() -> None:
    fleet = Fleet(random.Random(1))
    losses_s = [UNKNOWN_PAST_S + 1.0 + 2.0 * number for number in range(3)]
    fleet.lose_engines(HARMLESS, losses_s)
    assert fleet.refused_s(HARMLESS, losses_s[-1]) <= MIN_REFUSAL_S


def test_node_that_starts_alone_refuses_for_longer() -> None:
    # Its peers have seen what crashed before it started.
    fleet = Fleet(random.Random(1))
    node = fleet.restart_one(99.0)
    fleet.lose_engines(HARMLESS, [100.0, 102.0, 104.0])
    end_s = 104.0 + MIN_REFUSAL_S
    assert node.is_quarantined([HARMLESS], end_s - 0.5)
    assert not node.is_quarantined([HARMLESS], end_s)


def test_crash_long_before_the_start_counts_as_trial() -> None:
    # Peers of an earlier version tell of it, but not what they remember.
    node = CrashSuspects(started_s=100.0)
    for number in range(CRASHES_TO_REFUSE):
        node.record_crash([HARMLESS], CrashSource(number), 90.0)
    assert not node.is_quarantined([HARMLESS], 90.0 + MIN_REFUSAL_S)


def test_report_of_an_earlier_version_is_dropped() -> None:
    # It ends with the suspects.
    report = msgspec.json.decode(b'[[], {}]', type=CrashReport)
    assert report == CrashReport([], {}, memory_ms=0)
