"""Admission of one workspace's requests on one node."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Final

from ..errors import CatkinreachError, ErrorKind
from ..messages.limits import SliceAsk
from .borrowed_budget import BorrowedBudget
from .parameters import SLICE_LIFE_S, SlicePolicy

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..ids import Incarnation, WorkspaceId
    from ..messages.limits import SliceGrant
    from .parameters import WorkspaceLimits

DEFAULT_POLICY: Final = SlicePolicy()
"""How nodes borrow unless a comparison says otherwise."""

RENEW_S: Final = SLICE_LIFE_S / 2
"""Age of a loan after which the node shows it to the owner again."""

MIN_PAUSE_S: Final = 0.001
"""Pause after a grant before a request that just came may ask again."""

RETRY_ASK_S: Final = 0.02
"""Shortest pause between two asks in all other cases."""

MAX_RETRY_ASK_S: Final = 0.2
"""Longest pause between two asks while requests wait."""

MAX_WAITING: Final = 1000
"""Requests of one workspace that wait on one node."""


PROBE_UNITS: Final = (1.0, 1.0)
"""Units that a probe asks for."""


class ProbeState(Enum):
    """Whether an owner has lent to this node yet."""

    NONE = 'none'
    OPEN = 'open'
    DONE = 'done'


@dataclass(frozen=True, slots=True)
class Cost:
    """Units that a request reserves."""

    requests: float
    tokens: float

    @property
    def units(self) -> tuple[float, float]:
        """Returns the cost in the order that messages have."""
        return self.requests, self.tokens


@dataclass(frozen=True, slots=True)
class Verdict:
    """Admission of a request, or its refusal."""

    number: int
    refusal: CatkinreachError | None = None


@dataclass(frozen=True, slots=True)
class _Waiting:
    number: int
    cost: Cost
    arrived_at_s: float


class WorkspaceLimiter:
    """Admits from borrowed slices, first come, first served.

    The owner of the limiter calls ``resolve_queued`` after every event, sends
    what ``next_slice_request`` returns, and reads its clock right before each
    call: a process that was paused finds its slices expired.
    """

    def __init__(
        self,
        workspace_id: WorkspaceId,
        incarnation: Incarnation,
        limits: WorkspaceLimits,
        policy: SlicePolicy = DEFAULT_POLICY,
    ) -> None:
        """Starts without slices."""
        self.limits = limits
        self._policy = policy
        self._workspace_id = workspace_id
        self._incarnation = incarnation
        self._budgets = (BorrowedBudget(policy), BorrowedBudget(policy))
        self._waiting: deque[_Waiting] = deque()
        self._sequence = 0
        self._accepted = 0
        self._asked_at_s = 0.0
        self._is_asking = False
        self._ask_from_s = 0.0
        self._granted_at_s = -MIN_PAUSE_S
        self._failing_from_s: float | None = None
        self._is_recovering = False
        self._is_short = False
        self._probe = ProbeState.NONE

    @property
    def waiting_count(self) -> int:
        """Returns the requests that wait for a slice."""
        return len(self._waiting)

    @property
    def is_probed(self) -> bool:
        """Tells whether an owner has lent anything since the start."""
        return self._probe is ProbeState.DONE

    def probe(self) -> None:
        """Asks for a unit of each kind although no request waits."""
        if self._probe is ProbeState.NONE:
            self._probe = ProbeState.OPEN

    def free(self, now_s: float) -> tuple[float, float]:
        """Returns the requests and tokens at hand."""
        requests, tokens = self._budgets
        return requests.free(now_s), tokens.free(now_s)

    def try_admit(self, number: int, cost: Cost, now_s: float) -> bool:
        """Admits at once if nothing waits and units are at hand."""
        for budget, units in zip(self._budgets, cost.units, strict=True):
            budget.demand.add(units, now_s)
        if self._waiting or not self._can_draw(cost, now_s):
            return False
        self._draw(number, cost)
        return True

    def enqueue(self, number: int, cost: Cost, now_s: float) -> None:
        """Queues a request that was not admitted at once.

        Raises:
            CatkinreachError: ``RATE_LIMITED`` if it can never be admitted
                or too many wait.
        """
        for units, limit in zip(cost.units, self.limits.units, strict=True):
            if units > limit.burst:
                raise CatkinreachError(
                    ErrorKind.RATE_LIMITED,
                    'The request costs more than the burst.',
                )
        if len(self._waiting) >= MAX_WAITING:
            raise CatkinreachError(ErrorKind.RATE_LIMITED)
        self._waiting.append(_Waiting(number, cost, now_s))

    def cancel(self, number: int) -> None:
        """Forgets a waiting request whose caller has gone."""
        self._waiting = deque(
            one for one in self._waiting if one.number != number
        )

    def settle(self, number: int, unused_tokens: float, now_s: float) -> None:
        """Gives back the tokens that an admitted request did not use."""
        self._budgets[1].settle(number, unused_tokens, now_s)

    def resolve_queued(self, now_s: float) -> list[Verdict]:
        """Returns the requests whose wait ends now."""
        verdicts = []
        while self._waiting and self._can_draw(self._waiting[0].cost, now_s):
            first = self._waiting.popleft()
            self._draw(first.number, first.cost)
            verdicts.append(Verdict(first.number))
        verdicts.extend(self._refusals(now_s))
        return verdicts

    def next_slice_request(self, now_s: float) -> SliceAsk | None:
        """Returns what to ask the owner, if it is time to."""
        if self._is_asking or not self._has_reason(now_s):
            return None
        if now_s < self._next_ask_from_s:
            return None
        self._is_asking = True
        self._asked_at_s = now_s
        self._sequence += 1
        first = self._first_units
        waiting = self._waiting_units()
        requests, tokens = (
            budget.state_need(units, units_first, limit.burst, now_s)
            for budget, units, units_first, limit in zip(
                self._budgets, waiting, first, self.limits.units, strict=True
            )
        )
        return SliceAsk(
            workspace_id=self._workspace_id,
            incarnation=self._incarnation,
            sequence=self._sequence,
            term=self._budgets[0].term,
            accepted=self._accepted,
            needs=(requests, tokens),
        )

    def on_grant(self, grant: SliceGrant, now_s: float) -> None:
        """Takes the slices of the ask that is open; drops any other."""
        if not self._is_asking or grant.sequence != self._sequence:
            return
        self._is_asking = False
        self._accepted = grant.sequence
        self._granted_at_s = now_s
        self._failing_from_s = None
        self._is_recovering = grant.is_recovering
        expires_at_s = self._asked_at_s + SLICE_LIFE_S
        for budget, lent in zip(self._budgets, grant.slices, strict=True):
            budget.take(lent, grant.term, expires_at_s, now_s)
        if min(self.free(now_s)) >= min(PROBE_UNITS):
            self._probe = ProbeState.DONE
        ready_in_s = max(lent.ready_in_s for lent in grant.slices)
        pause_s = min(max(ready_in_s, RETRY_ASK_S), MAX_RETRY_ASK_S)
        self._ask_from_s = now_s + pause_s
        self._is_short = ready_in_s > 0

    def on_failure(self, sequence: int, now_s: float) -> None:
        """Ends an ask that brought no grant; its grant is void from now."""
        if not self._is_asking or sequence != self._sequence:
            return
        self._is_asking = False
        self._is_short = True
        self._ask_from_s = now_s + MAX_RETRY_ASK_S
        if self._failing_from_s is None:
            self._failing_from_s = now_s

    @property
    def _next_ask_from_s(self) -> float:
        if self._waiting and not self._is_short:
            return self._granted_at_s + MIN_PAUSE_S
        return self._ask_from_s

    def _can_draw(self, cost: Cost, now_s: float) -> bool:
        requests, tokens = self._budgets
        return requests.can_draw(cost.requests, now_s) and tokens.can_draw(
            cost.tokens, now_s
        )

    def _draw(self, number: int, cost: Cost) -> None:
        requests, tokens = self._budgets
        requests.draw(cost.requests, number, is_claim=False)
        tokens.draw(cost.tokens, number, is_claim=cost.tokens > 0)

    @property
    def _first_units(self) -> tuple[float, float]:
        if self._waiting:
            return self._waiting[0].cost.units
        return PROBE_UNITS if self._probe is ProbeState.OPEN else (0.0, 0.0)

    def _waiting_units(self) -> tuple[float, float]:
        if not self._waiting:
            return self._first_units
        return (
            sum(one.cost.requests for one in self._waiting),
            sum(one.cost.tokens for one in self._waiting),
        )

    def _has_reason(self, now_s: float) -> bool:
        if self._waiting or self._probe is ProbeState.OPEN:
            return True
        if any(budget.wants_ask(now_s) for budget in self._budgets):
            return True
        if now_s - self._asked_at_s < RENEW_S / 2:
            return False
        if any(budget.has_surplus(now_s) for budget in self._budgets):
            return True
        is_held = not all(budget.is_idle(now_s) for budget in self._budgets)
        return is_held and now_s - self._asked_at_s >= RENEW_S

    def _refusals(self, now_s: float) -> Iterator[Verdict]:
        if not self._waiting:
            return
        kept: deque[_Waiting] = deque()
        lacking = [-units for units in self.free(now_s)]
        for one in self._waiting:
            before = [
                units + more
                for units, more in zip(lacking, one.cost.units, strict=True)
            ]
            refusal = self._refusal_of(one, before, now_s)
            if refusal is None:
                lacking = before
                kept.append(one)
            else:
                yield Verdict(one.number, refusal)
        self._waiting = kept

    def _refusal_of(
        self, one: _Waiting, lacking: list[float], now_s: float
    ) -> CatkinreachError | None:
        waited_s = now_s - one.arrived_at_s
        ready_in_s = max(
            units / limit.rate
            for units, limit in zip(lacking, self.limits.units, strict=True)
        )
        if self._failing_from_s is not None:
            if waited_s > self._lost_patience_s(now_s):
                return CatkinreachError(ErrorKind.NO_OWNER)
            return None
        queue_timeout_s = over_s = self._policy.recovery_timeout_s
        if not self._is_recovering:
            queue_timeout_s = self._policy.queue_timeout_s
            over_s = self._policy.max_refill_wait_s
        is_over = self._is_short and ready_in_s > over_s
        if not is_over and waited_s <= queue_timeout_s:
            return None
        return CatkinreachError(
            ErrorKind.RATE_LIMITED, retry_after_s=max(0.0, ready_in_s)
        )

    def _lost_patience_s(self, now_s: float) -> float:
        """Waits long for an owner that was lost of late only."""
        longest_s = self._policy.recovery_timeout_s
        lost_for_s = now_s - (self._failing_from_s or now_s)
        if lost_for_s > longest_s:
            return min(self._policy.queue_timeout_s, longest_s)
        return longest_s


__all__ = ('Cost', 'Verdict', 'WorkspaceLimiter')
