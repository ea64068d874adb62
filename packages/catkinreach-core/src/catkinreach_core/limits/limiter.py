"""Rate limiter for one workspace's requests on one node."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Final

from ..errors import CatkinreachError, ErrorKind
from ..messages.limits import SliceRequest
from .leased_budget import LeasedBudget
from .parameters import SLICE_LIFETIME_S, SlicePolicy

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..ids import Incarnation, WorkspaceId
    from ..messages.limits import SliceGrant
    from .parameters import WorkspaceLimits

DEFAULT_POLICY: Final = SlicePolicy()
"""Policy of all nodes; benchmarks may pass another."""

RENEW_AFTER_S: Final = SLICE_LIFETIME_S / 2
"""Age of a lease after which the node renews it."""

GRANT_PAUSE_S: Final = 0.001
"""Pause after a grant before a new request may cause a slice request."""

MIN_REQUEST_PAUSE_S: Final = 0.02
"""Shortest pause between two slice requests in all other cases."""

MAX_REQUEST_PAUSE_S: Final = 0.2
"""Longest pause between two slice requests while requests are queued."""

MAX_QUEUED: Final = 1000
"""Largest number of queued requests of one workspace on one node."""

PROBE_UNITS: Final = (1.0, 1.0)
"""Units of each kind that the slice request of a probe needs."""


class ProbeState(Enum):
    """Progress of the probe for an owner that grants units to this node."""

    NONE = 'none'
    OPEN = 'open'
    DONE = 'done'


@dataclass(frozen=True, slots=True)
class Cost:
    """Units of each kind that a request reserves."""

    requests: float
    tokens: float

    @property
    def units(self) -> tuple[float, float]:
        """Returns the cost in message order: requests, then tokens."""
        return self.requests, self.tokens


@dataclass(frozen=True, slots=True)
class AdmissionDecision:
    """Admission of a queued request, or its refusal."""

    number: int
    refusal: CatkinreachError | None = None


@dataclass(frozen=True, slots=True)
class _QueuedRequest:
    number: int
    cost: Cost
    arrived_at_s: float


class WorkspaceLimiter:
    """Admits requests from leased slices, in order of arrival.

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
        self._budgets = (LeasedBudget(policy), LeasedBudget(policy))
        self._queued: deque[_QueuedRequest] = deque()
        self._sequence = 0
        self._accepted = 0
        self._requested_at_s = 0.0
        self._is_requesting = False
        self._request_from_s = 0.0
        self._granted_at_s = -GRANT_PAUSE_S
        self._failing_since_s: float | None = None
        self._is_recovering = False
        self._is_short_of_units = False
        self._probe = ProbeState.NONE

    @property
    def queued_count(self) -> int:
        """Returns the number of requests that are queued for a slice."""
        return len(self._queued)

    @property
    def has_probed_owner(self) -> bool:
        """Returns whether an owner has granted units since the start."""
        return self._probe is ProbeState.DONE

    def start_probe(self) -> None:
        """Requests a unit of each kind although no request is queued."""
        if self._probe is ProbeState.NONE:
            self._probe = ProbeState.OPEN

    def free(self, now_s: float) -> tuple[float, float]:
        """Returns the free requests and tokens."""
        requests, tokens = self._budgets
        return requests.free(now_s), tokens.free(now_s)

    def try_admit(self, number: int, cost: Cost, now_s: float) -> bool:
        """Admits at once if the queue is empty and enough units are free."""
        for budget, units in zip(self._budgets, cost.units, strict=True):
            budget.demand.add(units, now_s)
        if self._queued or not self._can_spend(cost, now_s):
            return False
        self._spend(number, cost)
        return True

    def enqueue(self, number: int, cost: Cost, now_s: float) -> None:
        """Queues a request that was not admitted at once.

        Raises:
            CatkinreachError: ``RATE_LIMITED`` if the request can never be
                admitted or the queue is full.
        """
        for units, limit in zip(cost.units, self.limits.units, strict=True):
            if units > limit.burst:
                raise CatkinreachError(
                    ErrorKind.RATE_LIMITED,
                    'The request costs more than the burst.',
                )
        if len(self._queued) >= MAX_QUEUED:
            raise CatkinreachError(ErrorKind.RATE_LIMITED)
        self._queued.append(_QueuedRequest(number, cost, now_s))

    def cancel(self, number: int) -> None:
        """Removes a queued request whose caller has disconnected."""
        self._queued = deque(
            queued for queued in self._queued if queued.number != number
        )

    def settle(self, number: int, unused_tokens: float, now_s: float) -> None:
        """Refunds the tokens that an admitted request did not use."""
        self._budgets[1].settle(number, unused_tokens, now_s)

    def resolve_queued(self, now_s: float) -> list[AdmissionDecision]:
        """Removes and returns the requests that are admitted or refused now."""
        decisions = []
        while self._queued and self._can_spend(self._queued[0].cost, now_s):
            first = self._queued.popleft()
            self._spend(first.number, first.cost)
            decisions.append(AdmissionDecision(first.number))
        decisions.extend(self._refuse_queued(now_s))
        return decisions

    def next_slice_request(self, now_s: float) -> SliceRequest | None:
        """Returns the next request to the owner, ``None`` if none is due."""
        if self._is_requesting or not self._has_request_reason(now_s):
            return None
        if now_s < self._next_request_from_s:
            return None
        self._is_requesting = True
        self._requested_at_s = now_s
        self._sequence += 1
        first = self._first_cost
        waiting = self._queued_cost()
        requests, tokens = (
            budget.prepare_need(units, units_first, limit.burst, now_s)
            for budget, units, units_first, limit in zip(
                self._budgets, waiting, first, self.limits.units, strict=True
            )
        )
        return SliceRequest(
            workspace_id=self._workspace_id,
            incarnation=self._incarnation,
            sequence=self._sequence,
            term=self._budgets[0].term,
            accepted=self._accepted,
            needs=(requests, tokens),
        )

    def on_grant(self, grant: SliceGrant, now_s: float) -> None:
        """Adds the slices granted to the open request; ignores others."""
        if not self._is_requesting or grant.sequence != self._sequence:
            return
        self._is_requesting = False
        self._accepted = grant.sequence
        self._granted_at_s = now_s
        self._failing_since_s = None
        self._is_recovering = grant.is_recovering
        expires_at_s = self._requested_at_s + SLICE_LIFETIME_S
        for budget, granted in zip(self._budgets, grant.slices, strict=True):
            budget.add_slice(granted, grant.term, expires_at_s, now_s)
        if min(self.free(now_s)) >= min(PROBE_UNITS):
            self._probe = ProbeState.DONE
        ready_in_s = max(granted.ready_in_s for granted in grant.slices)
        pause_s = min(max(ready_in_s, MIN_REQUEST_PAUSE_S), MAX_REQUEST_PAUSE_S)
        self._request_from_s = now_s + pause_s
        self._is_short_of_units = ready_in_s > 0

    def on_failure(self, sequence: int, now_s: float) -> None:
        """Ends a slice request that failed; a later grant to it is ignored."""
        if not self._is_requesting or sequence != self._sequence:
            return
        self._is_requesting = False
        self._is_short_of_units = True
        self._request_from_s = now_s + MAX_REQUEST_PAUSE_S
        if self._failing_since_s is None:
            self._failing_since_s = now_s

    @property
    def _next_request_from_s(self) -> float:
        if self._queued and not self._is_short_of_units:
            return self._granted_at_s + GRANT_PAUSE_S
        return self._request_from_s

    def _can_spend(self, cost: Cost, now_s: float) -> bool:
        requests, tokens = self._budgets
        return requests.can_spend(cost.requests, now_s) and tokens.can_spend(
            cost.tokens, now_s
        )

    def _spend(self, number: int, cost: Cost) -> None:
        requests, tokens = self._budgets
        requests.spend(cost.requests, number, is_claim=False)
        tokens.spend(cost.tokens, number, is_claim=cost.tokens > 0)

    @property
    def _first_cost(self) -> tuple[float, float]:
        if self._queued:
            return self._queued[0].cost.units
        return PROBE_UNITS if self._probe is ProbeState.OPEN else (0.0, 0.0)

    def _queued_cost(self) -> tuple[float, float]:
        if not self._queued:
            return self._first_cost
        return (
            sum(queued.cost.requests for queued in self._queued),
            sum(queued.cost.tokens for queued in self._queued),
        )

    def _has_request_reason(self, now_s: float) -> bool:
        if self._queued or self._probe is ProbeState.OPEN:
            return True
        if any(budget.needs_renewal(now_s) for budget in self._budgets):
            return True
        if now_s - self._requested_at_s < RENEW_AFTER_S / 2:
            return False
        if any(budget.has_surplus(now_s) for budget in self._budgets):
            return True
        has_units = not all(budget.is_idle(now_s) for budget in self._budgets)
        return has_units and now_s - self._requested_at_s >= RENEW_AFTER_S

    def _refuse_queued(self, now_s: float) -> Iterator[AdmissionDecision]:
        if not self._queued:
            return
        kept: deque[_QueuedRequest] = deque()
        missing = [-units for units in self.free(now_s)]
        for queued in self._queued:
            missing_after = [
                units + cost
                for units, cost in zip(missing, queued.cost.units, strict=True)
            ]
            refusal = self._refusal_of(queued, missing_after, now_s)
            if refusal is None:
                missing = missing_after
                kept.append(queued)
            else:
                yield AdmissionDecision(queued.number, refusal)
        self._queued = kept

    def _refusal_of(
        self, queued: _QueuedRequest, missing: list[float], now_s: float
    ) -> CatkinreachError | None:
        waited_s = now_s - queued.arrived_at_s
        ready_in_s = max(
            units / limit.rate
            for units, limit in zip(missing, self.limits.units, strict=True)
        )
        if self._failing_since_s is not None:
            if waited_s > self._owner_timeout_s(now_s):
                return CatkinreachError(ErrorKind.NO_OWNER)
            return None
        queue_timeout_s = max_wait_s = self._policy.recovery_timeout_s
        if not self._is_recovering:
            queue_timeout_s = self._policy.queue_timeout_s
            max_wait_s = self._policy.max_refill_wait_s
        is_over_rate = self._is_short_of_units and ready_in_s > max_wait_s
        if not is_over_rate and waited_s <= queue_timeout_s:
            return None
        return CatkinreachError(
            ErrorKind.RATE_LIMITED, retry_after_s=max(0.0, ready_in_s)
        )

    def _owner_timeout_s(self, now_s: float) -> float:
        """Returns the queue timeout while the shard has no owner.

        It is longer if the last owner was lost recently.
        """
        timeout_s = self._policy.recovery_timeout_s
        without_owner_s = now_s - (self._failing_since_s or now_s)
        if without_owner_s > timeout_s:
            return min(self._policy.queue_timeout_s, timeout_s)
        return timeout_s


__all__ = ('AdmissionDecision', 'Cost', 'WorkspaceLimiter')
