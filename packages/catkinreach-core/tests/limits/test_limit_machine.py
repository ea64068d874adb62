"""State machine over the cores: no history exceeds rate and burst."""

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
    from catkinreach_core.messages.limits import SliceAsk, SliceGrant

SHARD = ShardId('limit/0')
WORKSPACE = WorkspaceId('sunday-bee')
LIMITS = WorkspaceLimits(requests=UnitLimit(20, 20), tokens=UnitLimit(200, 200))


class Fault(Enum):
    """What the network does to one exchange."""

    NONE = 'none'
    LOST = 'lost'
    ASK_LATE = 'ask-late'
    ASK_TWICE = 'ask-twice'
    GRANT_LATE = 'grant-late'
    GRANT_TWICE = 'grant-twice'
    GRANT_WAITS = 'grant-waits'


GREEDY = SlicePolicy(slice_horizon_s=3, renew_horizon_s=2, surplus_horizon_s=5)
NODES = st.integers(0, 2)
FAULTS = st.sampled_from([Fault.NONE] * 6 + list(Fault))


class LimitMachine(RuleBasedStateMachine):
    """Three nodes, one owner at a time, a network that does anything.

    A node that is paused is one that has no rule for a while: its clock goes
    on and its messages wait.
    """

    def __init__(self) -> None:
        """Starts three nodes and the first owner."""
        super().__init__()
        self.now_s = 0.0
        self.numbers = iter(range(1, 10**9))
        self.lives = iter(range(10**9))
        self.limiters = [self._new_limiter() for _ in range(3)]
        self.asks: list[tuple[int, WorkspaceLimiter, SliceAsk]] = []
        self.grants: list[tuple[WorkspaceLimiter, SliceGrant]] = []
        self.running: list[tuple[WorkspaceLimiter, int, float]] = []
        self.tokens: dict[int, Admission] = {}
        self.requests: list[Admission] = []
        self.costs: dict[int, Cost] = {}
        self.term = 1
        self.lease_table: SliceLeaseTable | None = self._new_lease_table()

    def _new_limiter(self) -> WorkspaceLimiter:
        life = Incarnation(f'life-{next(self.lives)}')
        return WorkspaceLimiter(WORKSPACE, life, LIMITS, GREEDY)

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
        for verdict in limiter.resolve_queued(self.now_s):
            if verdict.refusal is None:
                self._admit(limiter, verdict.number)

    @rule(pause_s=st.sampled_from([0.001, 0.2, 0.5, 0.9, 1.1, 2.5]))
    def advance(self, pause_s: float) -> None:
        """Lets time pass on every clock."""
        self.now_s += pause_s

    @rule(node=NODES, count=st.sampled_from([1, 9, 25]), fault=FAULTS)
    def arrive(self, node: int, count: int, fault: Fault) -> None:
        """Brings requests to a node, which asks for slices."""
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
        self._exchange(node, fault)

    @rule(node=NODES, fault=FAULTS)
    def tick(self, node: int, fault: Fault) -> None:
        """Lets a node renew, return and ask."""
        self._step(self.limiters[node])
        self._exchange(node, fault)

    def _exchange(self, node: int, fault: Fault) -> None:
        limiter = self.limiters[node]
        ask = limiter.next_slice_request(self.now_s)
        if ask is None:
            return
        if fault in (Fault.ASK_LATE, Fault.ASK_TWICE):
            self.asks.append((node, limiter, ask))
        if fault in (Fault.ASK_LATE, Fault.LOST) or self.lease_table is None:
            limiter.on_failure(ask.sequence, self.now_s + 0.3)
            return
        grant = self.lease_table.grant_slices(
            VmId(f'vm-{node}'), ask, LIMITS, self.now_s
        )
        assert grant is not None
        if fault in (Fault.GRANT_LATE, Fault.GRANT_TWICE):
            self.grants.append((limiter, grant))
        if fault is Fault.GRANT_LATE:
            limiter.on_failure(ask.sequence, self.now_s)
            return
        if fault is not Fault.GRANT_WAITS:
            limiter.on_grant(grant, self.now_s)
            self._step(limiter)
        else:
            self.grants.append((limiter, grant))

    @precondition(lambda machine: machine.asks)
    @rule(pick=st.integers(0, 99), is_kept=st.booleans())
    def answer(self, pick: int, is_kept: bool) -> None:  # noqa: FBT001
        """Delivers an ask, maybe not for the last time."""
        node, limiter, ask = self.asks[pick % len(self.asks)]
        if not is_kept:
            self.asks.remove((node, limiter, ask))
        if self.lease_table is None:
            return
        grant = self.lease_table.grant_slices(
            VmId(f'vm-{node}'), ask, LIMITS, self.now_s
        )
        if grant is not None:
            self.grants.append((limiter, grant))

    @precondition(lambda machine: machine.grants)
    @rule(pick=st.integers(0, 99), is_kept=st.booleans())
    def take(self, pick: int, is_kept: bool) -> None:  # noqa: FBT001
        """Delivers a grant, maybe not for the last time."""
        limiter, grant = self.grants[pick % len(self.grants)]
        if not is_kept:
            self.grants.remove((limiter, grant))
        limiter.on_grant(grant, self.now_s)
        self._step(limiter)

    @rule(node=NODES)
    def time_out(self, node: int) -> None:
        """Ends the open ask of a node."""
        limiter = self.limiters[node]
        for sequence in range(200):
            limiter.on_failure(sequence, self.now_s)

    @precondition(lambda machine: machine.running)
    @rule(pick=st.integers(0, 99), part=st.sampled_from([0.0, 0.5, 1.0]))
    def settle(self, pick: int, part: float) -> None:
        """Ends a request that used a part of its tokens."""
        limiter, number, tokens = self.running.pop(pick % len(self.running))
        used = tokens * part
        admission = self.tokens[number]
        self.tokens[number] = replace(admission, units=used)
        limiter.settle(number, tokens - used, self.now_s)

    @rule(node=NODES)
    def restart(self, node: int) -> None:
        """Starts a node anew; what it held is lost."""
        gone = self.limiters[node]
        self.running = [one for one in self.running if one[0] is not gone]
        self.limiters[node] = self._new_limiter()

    @rule()
    def lose_owner(self) -> None:
        """Leaves the shard without an owner."""
        self.lease_table = None

    @precondition(lambda machine: machine.lease_table is None)
    @rule()
    def new_owner(self) -> None:
        """Gives the shard to an owner that knows nothing."""
        self.term += 1
        self.lease_table = self._new_lease_table()

    @precondition(lambda machine: machine.lease_table is not None)
    @rule(gap_s=st.sampled_from([0.0, 0.1, 2.0]))
    def hand_over(self, gap_s: float) -> None:
        """Gives the shard to a successor in good order."""
        assert self.lease_table is not None
        handover = self.lease_table.handover(self.now_s)
        self.now_s += gap_s
        self.term += 1
        self.lease_table = SliceLeaseTable.from_handover(
            self._tenure(), handover, {WORKSPACE: LIMITS}, self.now_s
        )

    @invariant()
    def bound_holds(self) -> None:
        """Checks every window so far."""
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


WALKS = 400
STEPS = 60
SEED = 1
PAUSES_S = (0.001, 0.2, 0.5, 0.9, 1.1, 2.5)
KINDS = [Fault.NONE] * 6 + list(Fault)
HELD = 20


def _walk(rng: random.Random) -> LimitMachine:
    machine = LimitMachine()
    moves = (
        (30, lambda: machine.advance(rng.choice(PAUSES_S))),
        (30, lambda: machine.arrive(_node(rng), _count(rng), _fault(rng))),
        (15, lambda: machine.tick(_node(rng), _fault(rng))),
        (5, lambda: machine.asks and machine.answer(*_delivery(rng))),
        (5, lambda: machine.grants and machine.take(*_delivery(rng))),
        (5, lambda: machine.running and machine.settle(_pick(rng), 0.5)),
        (2, lambda: machine.restart(_node(rng))),
        (2, machine.lose_owner),
        (4, lambda: _renew(machine)),
        (2, lambda: machine.time_out(_node(rng))),
    )
    weights = [weight for weight, _ in moves]
    for _, move in rng.choices(moves, weights, k=STEPS):
        move()
    return machine


def _node(rng: random.Random) -> int:
    return rng.randrange(3)


def _count(rng: random.Random) -> int:
    return rng.choice((1, 9, 25))


def _fault(rng: random.Random) -> Fault:
    return rng.choice(KINDS)


def _pick(rng: random.Random) -> int:
    return rng.randrange(100)


def _delivery(rng: random.Random) -> tuple[int, bool]:
    return _pick(rng), rng.random() < 0.5


def _renew(machine: LimitMachine) -> None:
    if machine.lease_table is None:
        machine.new_owner()
    else:
        machine.hand_over(0.1)


def test_walks_stay_within_the_bound() -> None:
    rng = random.Random(SEED)
    for _ in range(WALKS):
        _walk(rng).bound_holds()


def _hold_everything(machine: LimitMachine) -> None:
    """Node 0 holds the whole burst and has used nothing of it."""
    machine.advance(2.5)
    machine.advance(2.5)
    machine.arrive(0, HELD, Fault.GRANT_WAITS)
    limiter = machine.limiters[0]
    for number in range(1, HELD + 1):
        limiter.cancel(number)
    machine.take(0, is_kept=False)
    assert limiter.free(machine.now_s)[0] == pytest.approx(HELD, abs=0.01)


def _everyone_spends(machine: LimitMachine) -> None:
    for node in (0, 1):
        machine.arrive(node, 25, Fault.NONE)
    machine.bound_holds()


def test_new_owner_lends_nothing_while_old_slices_live() -> None:
    machine = LimitMachine()
    _hold_everything(machine)
    machine.lose_owner()
    machine.new_owner()
    machine.advance(0.9)
    _everyone_spends(machine)
    assert len(machine.requests) == HELD


@pytest.mark.parametrize('pause_s', [0.9, 1.0, 1.05, 1.1, 1.6, 2.5])
def test_paused_borrower_does_not_spend_what_was_lent_again(
    pause_s: float,
) -> None:
    machine = LimitMachine()
    _hold_everything(machine)
    machine.advance(pause_s)
    machine.arrive(1, 25, Fault.NONE)
    _everyone_spends(machine)
