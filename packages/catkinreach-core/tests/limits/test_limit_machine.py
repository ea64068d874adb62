"""Random event sequences must not exceed the rate and burst.

The faults are lost, late and duplicate messages, restarts and changes of
owner.
"""

from __future__ import annotations

import random
from dataclasses import replace
from enum import Enum
from typing import TYPE_CHECKING

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from catkinreach_core.errors import CatkinreachError
from catkinreach_core.ids import Incarnation, ShardId, VmId, WorkspaceId
from catkinreach_core.limits.lease_table import SliceLeaseTable
from catkinreach_core.limits.limiter import Cost, WorkspaceLimiter
from catkinreach_core.limits.parameters import (
    SlicePolicy,
    UnitLimit,
    WorkspaceLimits,
)
from catkinreach_core.limits.window_checker import Admission, window_violations
from catkinreach_core.ownership.tenure import Tenure

if TYPE_CHECKING:
    from catkinreach_core.messages.limits import SliceGrant, SliceRequest

SHARD = ShardId('limit/0')
WORKSPACE = WorkspaceId('sunday-bee')
LIMITS = WorkspaceLimits(requests=UnitLimit(20, 20), tokens=UnitLimit(200, 200))


class Fault(Enum):
    """Network fault of one slice request or its grant."""

    NONE = 'none'
    LOST = 'lost'
    REQUEST_LATE = 'request-late'
    REQUEST_TWICE = 'request-twice'
    GRANT_LATE = 'grant-late'
    GRANT_TWICE = 'grant-twice'
    GRANT_DELAYED = 'grant-delayed'


LARGE_SLICES = SlicePolicy(
    slice_horizon_s=3, renew_horizon_s=2, surplus_horizon_s=5
)
NODES = st.integers(0, 2)
FAULTS = st.sampled_from([Fault.NONE] * 6 + list(Fault))


class LimitMachine(RuleBasedStateMachine):
    """Three nodes, one owner at a time and a faulty network.

    A paused node is one for which no rule runs for a while: its clock
    advances and its messages stay queued.
    """

    def __init__(self) -> None:
        """Starts three nodes and the first owner."""
        super().__init__()
        self.now_s = 0.0
        self.numbers = iter(range(1, 10**9))
        self.incarnation_numbers = iter(range(10**9))
        self.limiters = [self._new_limiter() for _ in range(3)]
        self.slice_requests: list[
            tuple[int, WorkspaceLimiter, SliceRequest]
        ] = []
        self.grants: list[tuple[WorkspaceLimiter, SliceGrant]] = []
        self.running: list[tuple[WorkspaceLimiter, int, float]] = []
        self.tokens: dict[int, Admission] = {}
        self.requests: list[Admission] = []
        self.costs: dict[int, Cost] = {}
        self.term = 1
        self.lease_table: SliceLeaseTable | None = self._new_lease_table()

    def _new_limiter(self) -> WorkspaceLimiter:
        incarnation = Incarnation(
            f'incarnation-{next(self.incarnation_numbers)}'
        )
        return WorkspaceLimiter(WORKSPACE, incarnation, LIMITS, LARGE_SLICES)

    def _tenure(self) -> Tenure:
        return Tenure(
            shard=SHARD,
            owner=VmId('owner'),
            incarnation=Incarnation('owner'),
            term=self.term,
            started_at_s=self.now_s,
            expires_at_s=1e9,
        )

    def _new_lease_table(self) -> SliceLeaseTable:
        return SliceLeaseTable.from_tenure(self._tenure(), not_before_s=0)

    def _admit(self, limiter: WorkspaceLimiter, number: int) -> None:
        cost = self.costs[number]
        self.requests.append(Admission(self.now_s, cost.requests))
        self.tokens[number] = Admission(self.now_s, cost.tokens)
        self.running.append((limiter, number, cost.tokens))

    def _step(self, limiter: WorkspaceLimiter) -> None:
        for decision in limiter.resolve_queued(self.now_s):
            if decision.refusal is None:
                self._admit(limiter, decision.number)

    @rule(pause_s=st.sampled_from([0.001, 0.2, 0.5, 0.9, 1.1, 2.5]))
    def advance(self, pause_s: float) -> None:
        """Advances every clock."""
        self.now_s += pause_s

    @rule(node=NODES, count=st.sampled_from([1, 9, 25]), fault=FAULTS)
    def arrive(self, node: int, count: int, fault: Fault) -> None:
        """Sends requests to a node, which then requests slices."""
        limiter = self.limiters[node]
        for _ in range(count):
            number = next(self.numbers)
            self.costs[number] = Cost(1, 9 if number % 3 else 11)
            try:
                if limiter.try_admit(number, self.costs[number], self.now_s):
                    self._admit(limiter, number)
                else:
                    limiter.enqueue(number, self.costs[number], self.now_s)
            except CatkinreachError:
                continue
        self._request_slices(node, fault)

    @rule(node=NODES, fault=FAULTS)
    def tick(self, node: int, fault: Fault) -> None:
        """Runs a node's timer: it renews, returns or requests units."""
        self._step(self.limiters[node])
        self._request_slices(node, fault)

    def _request_slices(self, node: int, fault: Fault) -> None:
        limiter = self.limiters[node]
        slice_request = limiter.next_slice_request(self.now_s)
        if slice_request is None:
            return
        if fault in (Fault.REQUEST_LATE, Fault.REQUEST_TWICE):
            self.slice_requests.append((node, limiter, slice_request))
        if (
            fault in (Fault.REQUEST_LATE, Fault.LOST)
            or self.lease_table is None
        ):
            limiter.on_failure(slice_request.sequence, self.now_s + 0.3)
            return
        grant = self.lease_table.grant_slices(
            VmId(f'vm-{node}'), slice_request, LIMITS, self.now_s
        )
        assert grant is not None
        if fault in (Fault.GRANT_LATE, Fault.GRANT_TWICE):
            self.grants.append((limiter, grant))
        if fault is Fault.GRANT_LATE:
            limiter.on_failure(slice_request.sequence, self.now_s)
            return
        if fault is not Fault.GRANT_DELAYED:
            limiter.on_grant(grant, self.now_s)
            self._step(limiter)
        else:
            self.grants.append((limiter, grant))

    @precondition(lambda machine: machine.slice_requests)
    @rule(index=st.integers(0, 99), is_kept=st.booleans())
    def deliver_request(self, index: int, is_kept: bool) -> None:  # noqa: FBT001
        """Delivers a slice request; a kept one is delivered again later."""
        node, limiter, slice_request = self.slice_requests[
            index % len(self.slice_requests)
        ]
        if not is_kept:
            self.slice_requests.remove((node, limiter, slice_request))
        if self.lease_table is None:
            return
        grant = self.lease_table.grant_slices(
            VmId(f'vm-{node}'), slice_request, LIMITS, self.now_s
        )
        if grant is not None:
            self.grants.append((limiter, grant))

    @precondition(lambda machine: machine.grants)
    @rule(index=st.integers(0, 99), is_kept=st.booleans())
    def deliver_grant(self, index: int, is_kept: bool) -> None:  # noqa: FBT001
        """Delivers a grant; a kept one is delivered again later."""
        limiter, grant = self.grants[index % len(self.grants)]
        if not is_kept:
            self.grants.remove((limiter, grant))
        limiter.on_grant(grant, self.now_s)
        self._step(limiter)

    @rule(node=NODES)
    def time_out(self, node: int) -> None:
        """Ends the open slice request of a node."""
        limiter = self.limiters[node]
        for sequence in range(200):
            limiter.on_failure(sequence, self.now_s)

    @precondition(lambda machine: machine.running)
    @rule(index=st.integers(0, 99), part=st.sampled_from([0.0, 0.5, 1.0]))
    def settle(self, index: int, part: float) -> None:
        """Ends a request that used part of its tokens."""
        limiter, number, tokens = self.running.pop(index % len(self.running))
        used = tokens * part
        admission = self.tokens[number]
        self.tokens[number] = replace(admission, units=used)
        limiter.settle(number, tokens - used, self.now_s)

    @rule(node=NODES)
    def restart(self, node: int) -> None:
        """Restarts a node, which loses its leases."""
        stopped = self.limiters[node]
        self.running = [
            request for request in self.running if request[0] is not stopped
        ]
        self.limiters[node] = self._new_limiter()

    @rule()
    def lose_owner(self) -> None:
        """Leaves the shard without an owner."""
        self.lease_table = None

    @precondition(lambda machine: machine.lease_table is None)
    @rule()
    def new_owner(self) -> None:
        """Gives the shard to an owner without a handover."""
        self.term += 1
        self.lease_table = self._new_lease_table()

    @precondition(lambda machine: machine.lease_table is not None)
    @rule(gap_s=st.sampled_from([0.0, 0.1, 2.0]))
    def hand_over(self, gap_s: float) -> None:
        """Gives the shard to a successor with a handover."""
        assert self.lease_table is not None
        handover = self.lease_table.handover(self.now_s)
        self.now_s += gap_s
        self.term += 1
        self.lease_table = SliceLeaseTable.from_handover(
            self._tenure(), handover, {WORKSPACE: LIMITS}, self.now_s
        )

    @invariant()
    def bound_holds(self) -> None:
        """Checks the bound in every time window so far."""
        requests, tokens = LIMITS.units
        assert not window_violations(
            self.requests, requests.rate, requests.burst
        )
        assert not window_violations(
            self.tokens.values(), tokens.rate, tokens.burst
        )


TestLimits = LimitMachine.TestCase
TestLimits.settings = settings(
    max_examples=200,
    stateful_step_count=50,
    derandomize=True,
    deadline=None,
    database=None,
)


WALK_COUNT = 400
STEP_COUNT = 60
SEED = 1
PAUSES_S = (0.001, 0.2, 0.5, 0.9, 1.1, 2.5)
FAULT_CHOICES = [Fault.NONE] * 6 + list(Fault)
LEASED = 20


def _run_walk(rng: random.Random) -> LimitMachine:
    machine = LimitMachine()
    steps = (
        (30, lambda: machine.advance(rng.choice(PAUSES_S))),
        (30, lambda: machine.arrive(_node(rng), _count(rng), _fault(rng))),
        (15, lambda: machine.tick(_node(rng), _fault(rng))),
        (
            5,
            lambda: (
                machine.slice_requests
                and machine.deliver_request(*_delivery(rng))
            ),
        ),
        (5, lambda: machine.grants and machine.deliver_grant(*_delivery(rng))),
        (
            5,
            lambda: machine.running and machine.settle(_random_index(rng), 0.5),
        ),
        (2, lambda: machine.restart(_node(rng))),
        (2, machine.lose_owner),
        (4, lambda: _change_owner(machine)),
        (2, lambda: machine.time_out(_node(rng))),
    )
    weights = [weight for weight, _ in steps]
    for _, step in rng.choices(steps, weights, k=STEP_COUNT):
        step()
    return machine


def _node(rng: random.Random) -> int:
    return rng.randrange(3)


def _count(rng: random.Random) -> int:
    return rng.choice((1, 9, 25))


def _fault(rng: random.Random) -> Fault:
    return rng.choice(FAULT_CHOICES)


def _random_index(rng: random.Random) -> int:
    return rng.randrange(100)


def _delivery(rng: random.Random) -> tuple[int, bool]:
    return _random_index(rng), rng.random() < 0.5


def _change_owner(machine: LimitMachine) -> None:
    if machine.lease_table is None:
        machine.new_owner()
    else:
        machine.hand_over(0.1)


def test_random_walks_stay_within_the_bound() -> None:
    rng = random.Random(SEED)
    for _ in range(WALK_COUNT):
        _run_walk(rng).bound_holds()


def _lease_whole_burst(machine: LimitMachine) -> None:
    """Lets node 0 lease the whole burst without using any of it."""
    machine.advance(2.5)
    machine.advance(2.5)
    machine.arrive(0, LEASED, Fault.GRANT_DELAYED)
    limiter = machine.limiters[0]
    for number in range(1, LEASED + 1):
        limiter.cancel(number)
    machine.deliver_grant(0, is_kept=False)
    assert limiter.free(machine.now_s)[0] == pytest.approx(LEASED, abs=0.01)


def _spend_on_two_nodes(machine: LimitMachine) -> None:
    for node in (0, 1):
        machine.arrive(node, 25, Fault.NONE)
    machine.bound_holds()


def test_new_owner_grants_nothing_before_old_slices_expire() -> None:
    machine = LimitMachine()
    _lease_whole_burst(machine)
    machine.lose_owner()
    machine.new_owner()
    machine.advance(0.9)
    _spend_on_two_nodes(machine)
    assert len(machine.requests) == LEASED


@pytest.mark.parametrize('pause_s', [0.9, 1.0, 1.05, 1.1, 1.6, 2.5])
def test_paused_holder_does_not_spend_units_granted_again(
    pause_s: float,
) -> None:
    machine = LimitMachine()
    _lease_whole_burst(machine)
    machine.advance(pause_s)
    machine.arrive(1, 25, Fault.NONE)
    _spend_on_two_nodes(machine)
