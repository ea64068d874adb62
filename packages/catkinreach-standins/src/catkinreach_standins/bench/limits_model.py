"""Simulates workspace limits over several nodes on a virtual clock.

Each node has the production limiter, and the owner has the production table of
slice leases. Clock, network and tenures are simulated.
"""

from __future__ import annotations

import heapq
import itertools
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from catkinreach_core.ids import Incarnation, ShardId, VmId, WorkspaceId
from catkinreach_core.limits.lease_table import SliceLeaseTable
from catkinreach_core.limits.limiter import Cost, WorkspaceLimiter
from catkinreach_core.limits.window_checker import Admission
from catkinreach_core.ownership.tenure import Tenure

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from catkinreach_core.limits.parameters import SlicePolicy, WorkspaceLimits
    from catkinreach_core.messages.limits import SliceGrant, SliceRequest

WORKSPACE_ID = WorkspaceId('sunday-bee')
SHARD = ShardId('limit/0')
NETWORK_DELAY_S = 0.0005
TICK_S = 0.05
CALL_TIMEOUT_S = 0.3


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reaches a node.

    Attributes:
        at_s: Time of arrival.
        node: Index of the node.
        cost: Requests and tokens to reserve at admission.
        used_tokens: Tokens that the request uses; the others are returned.
        runs_s: Running time after admission.
    """

    at_s: float
    node: int
    cost: Cost
    used_tokens: float
    running_time_s: float


@dataclass(slots=True)
class TrialRecord:
    """Admissions, refusals and messages of a trial.

    Attributes:
        requests: Admissions with their cost in requests.
        tokens: Admissions with their cost in tokens.
        refused: Arrivals that were refused.
        waits: Time of arrival and time in the queue of each admitted request.
        messages: Number of slice requests that nodes sent.
    """

    requests: list[Admission] = field(default_factory=list)
    tokens: list[Admission] = field(default_factory=list)
    refused: list[Arrival] = field(default_factory=list)
    waits: list[tuple[float, float]] = field(default_factory=list)
    messages: int = 0

    def admit(self, arrival: Arrival, now_s: float) -> None:
        """Records the admission of a request and its cost."""
        self.requests.append(Admission(now_s, arrival.cost.requests))
        self.tokens.append(Admission(now_s, arrival.cost.tokens))
        self.waits.append((arrival.at_s, now_s - arrival.at_s))


class VirtualClock:
    """Runs scheduled events in order of time and skips the time between."""

    def __init__(self) -> None:
        """Starts at zero."""
        self.now_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()

    def schedule(self, at_s: float, event: Callable[[], None]) -> None:
        """Schedules an event."""
        heapq.heappush(self._events, (at_s, next(self._event_numbers), event))

    def run(self, until_s: float) -> None:
        """Runs the events up to a time, inclusive."""
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, event = heapq.heappop(self._events)
            event()


class LimitModel(Protocol):
    """Simulated method that enforces a workspace's limits over all nodes."""

    def handle_arrival(self, arrival: Arrival) -> None:
        """Handles the arrival of a request."""

    def fail_node(self, node: int, gap_s: float) -> None:
        """Removes a node; a shard that it owns has no owner for ``gap_s``."""


class SliceFleet:
    """Nodes that lease slices of the limits from an owner node."""

    def __init__(
        self,
        clock: VirtualClock,
        limits: WorkspaceLimits,
        policy: SlicePolicy,
        *,
        node_count: int,
    ) -> None:
        """Starts the nodes; node 0 owns the shard of the limits."""
        self.record = TrialRecord()
        self._clock = clock
        self._limits = limits
        self._owner: int | None = 0
        self._lease_table = SliceLeaseTable.from_tenure(
            self._tenure(1), not_before_s=0
        )
        self._arrivals: dict[int, Arrival] = {}
        self._request_numbers = itertools.count(1)
        self._limiters = [
            WorkspaceLimiter(
                WORKSPACE_ID, Incarnation(f'incarnation-{node}'), limits, policy
            )
            for node in range(node_count)
        ]
        self._failed: set[int] = set()
        clock.schedule(TICK_S, self._drive_limiters)

    def handle_arrival(self, arrival: Arrival) -> None:
        """Admits or queues a request at its node."""
        limiter = self._limiters[arrival.node]
        number = next(self._request_numbers)
        self._arrivals[number] = arrival
        if limiter.try_admit(number, arrival.cost, self._clock.now_s):
            self._start_request(arrival.node, number)
        else:
            limiter.enqueue(number, arrival.cost, self._clock.now_s)
        self._drive_limiter(arrival.node)

    def fail_node(self, node: int, gap_s: float) -> None:
        """Removes a node; if it is the owner, another one is after the gap."""
        self._failed.add(node)
        if node != self._owner:
            return
        self._owner = None
        term = self._lease_table.term + 1

        def take_over() -> None:
            self._owner = next(
                candidate
                for candidate in range(len(self._limiters))
                if candidate not in self._failed
            )
            self._lease_table = SliceLeaseTable.from_tenure(
                self._tenure(term), not_before_s=self._clock.now_s
            )

        self._clock.schedule(self._clock.now_s + gap_s, take_over)

    def _tenure(self, term: int) -> Tenure:
        return Tenure(
            shard=SHARD,
            owner=VmId('owner'),
            incarnation=Incarnation('owner'),
            term=term,
            started_at_s=self._clock.now_s,
            expires_at_s=float('inf'),
        )

    def _drive_limiters(self) -> None:
        for node in range(len(self._limiters)):
            self._drive_limiter(node)
        self._clock.schedule(self._clock.now_s + TICK_S, self._drive_limiters)

    def _drive_limiter(self, node: int) -> None:
        if node in self._failed:
            return
        now_s = self._clock.now_s
        limiter = self._limiters[node]
        for verdict in limiter.resolve_queued(now_s):
            if verdict.refusal is None:
                self._start_request(node, verdict.number)
            else:
                self.record.refused.append(self._arrivals.pop(verdict.number))
        request = limiter.next_slice_request(now_s)
        if request is not None:
            self._send_request(node, request)

    def _send_request(self, node: int, request: SliceRequest) -> None:
        now_s = self._clock.now_s
        delay_s = 0.0 if node == self._owner else NETWORK_DELAY_S
        self.record.messages += 1
        self._clock.schedule(
            now_s + delay_s, lambda: self._answer_request(node, request)
        )
        self._clock.schedule(
            now_s + CALL_TIMEOUT_S,
            lambda: self._limiters[node].on_failure(
                request.sequence, self._clock.now_s
            ),
        )

    def _answer_request(self, node: int, request: SliceRequest) -> None:
        if self._owner is None:
            return
        now_s = self._clock.now_s
        grant = self._lease_table.grant_slices(
            VmId(f'vm-{node}'), request, self._limits, now_s
        )
        if grant is not None:
            delay_s = 0.0 if node == self._owner else NETWORK_DELAY_S
            self._clock.schedule(
                now_s + delay_s, lambda: self._apply_grant(node, grant)
            )

    def _apply_grant(self, node: int, grant: SliceGrant) -> None:
        self._limiters[node].on_grant(grant, self._clock.now_s)
        self._drive_limiter(node)

    def _start_request(self, node: int, number: int) -> None:
        arrival = self._arrivals.pop(number)
        self.record.admit(arrival, self._clock.now_s)
        unused = arrival.cost.tokens - arrival.used_tokens
        self._clock.schedule(
            self._clock.now_s + arrival.running_time_s,
            lambda: self._limiters[node].settle(
                number, unused, self._clock.now_s
            ),
        )


class FixedShareFleet:
    """Nodes of which each has a fixed share of the limits."""

    def __init__(
        self, clock: VirtualClock, limits: WorkspaceLimits, *, node_count: int
    ) -> None:
        """Divides rate and burst by ``node_count``, the largest fleet size."""
        self.record = TrialRecord()
        self._clock = clock
        self._limits = limits
        self._share = 1 / node_count
        self._levels: dict[int, list[float]] = {}
        self._refilled_at_s: dict[int, float] = {}

    def handle_arrival(self, arrival: Arrival) -> None:
        """Admits a request from its node's share, or refuses it."""
        now_s = self._clock.now_s
        levels = self._refill(arrival.node, now_s)
        costs = arrival.cost.units
        if any(level < cost for level, cost in zip(levels, costs, strict=True)):
            self.record.refused.append(arrival)
            return
        for kind, cost in enumerate(costs):
            levels[kind] -= cost
        self.record.admit(arrival, now_s)

    def fail_node(self, node: int, gap_s: float) -> None:
        """Does nothing: the share of a lost node stays unused."""

    def _refill(self, node: int, now_s: float) -> list[float]:
        levels = self._levels.setdefault(node, [0.0, 0.0])
        age_s = now_s - self._refilled_at_s.get(node, 0.0)
        self._refilled_at_s[node] = now_s
        for kind, limit in enumerate(self._limits.units):
            filled = levels[kind] + limit.rate * self._share * age_s
            levels[kind] = min(limit.burst * self._share, filled)
        return levels


class IdealBucket:
    """Single token bucket for all nodes, which never fails."""

    def __init__(self, limits: WorkspaceLimits) -> None:
        """Starts full."""
        self._limits = limits
        self._levels = [limit.burst for limit in limits.units]
        self._at_s = 0.0

    def try_admit(self, arrival: Arrival) -> bool:
        """Takes the cost of a request if the bucket holds it.

        Returns:
            Whether the cost was taken.
        """
        age_s = arrival.at_s - self._at_s
        self._at_s = arrival.at_s
        for kind, limit in enumerate(self._limits.units):
            filled = self._levels[kind] + limit.rate * age_s
            self._levels[kind] = min(limit.burst, filled)
        costs = arrival.cost.units
        if any(
            level < cost
            for level, cost in zip(self._levels, costs, strict=True)
        ):
            return False
        for kind, cost in enumerate(costs):
            self._levels[kind] -= cost
        return True


@dataclass(frozen=True, slots=True)
class Traffic:
    """Poisson arrivals of requests at nodes with unequal rates.

    Attributes:
        requests_per_s: Mean total rate of all nodes.
        node_weights: Relative rates of the nodes, rotated over time.
        until_s: Time at which the arrivals end.
        rotation_period_s: Time after which each weight moves to the next node.
    """

    requests_per_s: float
    node_weights: tuple[float, ...]
    until_s: float
    rotation_period_s: float = 7.0

    def draw(self, rng: random.Random) -> list[Arrival]:
        """Draws the arrivals, in order of time."""
        arrivals = []
        at_s = 0.0
        nodes = range(len(self.node_weights))
        while at_s < self.until_s:
            at_s += rng.expovariate(self.requests_per_s)
            rotation = int(at_s / self.rotation_period_s)
            (drawn,) = rng.choices(nodes, self.node_weights)
            prompt_tokens = rng.lognormvariate(6.2, 0.7)
            output_tokens = rng.uniform(20, 300)
            cost = Cost(1.0, float(int(prompt_tokens) + 400))
            arrivals.append(
                Arrival(
                    at_s=at_s,
                    node=(drawn + rotation) % len(nodes),
                    cost=cost,
                    used_tokens=float(int(prompt_tokens) + int(output_tokens)),
                    running_time_s=output_tokens * 0.02,
                )
            )
        return arrivals


__all__ = (
    'SHARD',
    'WORKSPACE_ID',
    'Arrival',
    'FixedShareFleet',
    'IdealBucket',
    'LimitModel',
    'SliceFleet',
    'Traffic',
    'TrialRecord',
    'VirtualClock',
)
