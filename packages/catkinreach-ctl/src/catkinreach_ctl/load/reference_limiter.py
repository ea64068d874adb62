"""Counts refusals that a workspace's rate and burst did not justify.

The load tool replays its observations against exact token buckets, without
the gateway's division of a limit over its nodes.
"""

from __future__ import annotations

from dataclasses import dataclass
from operator import itemgetter
from typing import TYPE_CHECKING

from catkinreach_core.errors import ErrorKind

from .observation import Verdict

if TYPE_CHECKING:
    from collections.abc import Iterable

    from catkinreach_core.settings.fleet import Workspace

    from .observation import Observation


@dataclass(slots=True)
class TokenBucket:
    """A token bucket that starts full.

    Attributes:
        rate_per_s: Tokens added each second.
        burst: Capacity.
        level: Tokens in the bucket; below 0 if more was admitted than the
            limit allows.
        at_s: Time of the level, from the start of the run.
    """

    rate_per_s: float
    burst: float
    level: float = 0.0
    at_s: float = 0.0

    def __post_init__(self) -> None:
        """Fills the bucket."""
        self.level = self.burst

    def refill(self, at_s: float) -> None:
        """Adds the tokens that accrued since the last refill."""
        elapsed_s = max(0.0, at_s - self.at_s)
        self.level = min(self.burst, self.level + elapsed_s * self.rate_per_s)
        self.at_s = max(self.at_s, at_s)

    def consume(self, cost: float) -> None:
        """Subtracts a cost; a negative cost returns tokens to the bucket."""
        self.level = min(self.burst, self.level - cost)


class ReferenceLimiter:
    """Exact request bucket and token bucket of one workspace.

    Attributes:
        wrongful_count: Requests that were refused by rate although both
            buckets held enough.
    """

    def __init__(self, workspace: Workspace) -> None:
        """Starts with full buckets."""
        self._requests = TokenBucket(
            workspace.requests_per_s, workspace.request_burst
        )
        self._tokens = TokenBucket(
            workspace.tokens_per_s, workspace.token_burst
        )
        self.wrongful_count = 0

    def record_send(self, observation: Observation) -> None:
        """Charges a request at its send time, or checks its refusal."""
        cost_tokens = observation.planned.cost_tokens
        self._refill(observation.sent_at_s)
        if observation.verdict is not Verdict.REFUSED:
            self._requests.consume(1)
            self._tokens.consume(cost_tokens)
        elif observation.code == ErrorKind.RATE_LIMITED.value:
            self.wrongful_count += self._is_within_limits(cost_tokens)

    def record_end(self, observation: Observation) -> None:
        """Refunds the tokens that an admitted request did not use."""
        if observation.verdict is Verdict.REFUSED:
            return
        self._refill(observation.ended_at_s)
        unused = observation.planned.cost_tokens - observation.used_tokens
        self._tokens.consume(-unused)

    def _refill(self, at_s: float) -> None:
        self._requests.refill(at_s)
        self._tokens.refill(at_s)

    def _is_within_limits(self, cost_tokens: int) -> bool:
        """Returns whether both buckets hold enough for a request."""
        return self._requests.level >= 1 and self._tokens.level >= cost_tokens


def count_wrongful_refusals(
    workspace: Workspace, observations: Iterable[Observation]
) -> int:
    """Counts requests refused by rate although within rate and burst.

    Only admitted requests consume tokens, at the time they were sent; the
    tokens that they did not use return when they end.
    """
    limiter = ReferenceLimiter(workspace)
    events = [
        (observation.sent_at_s, limiter.record_send, observation)
        for observation in observations
    ]
    events += [
        (observation.ended_at_s, limiter.record_end, observation)
        for _, _, observation in tuple(events)
    ]
    for _, record, event_observation in sorted(events, key=itemgetter(0)):
        record(event_observation)
    return limiter.wrongful_count


__all__ = ('TokenBucket', 'count_wrongful_refusals')
