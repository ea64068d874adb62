"""The tool's own exact account of a workspace's rate and burst."""

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
    """A token bucket that starts full."""

    rate_per_s: float
    burst: float
    level: float = 0.0
    at_s: float = 0.0

    def __post_init__(self) -> None:
        """Fills the bucket."""
        self.level = self.burst

    def advance(self, at_s: float) -> None:
        """Adds what the time since the last call brings."""
        elapsed_s = max(0.0, at_s - self.at_s)
        self.level = min(self.burst, self.level + elapsed_s * self.rate_per_s)
        self.at_s = max(self.at_s, at_s)

    def draw(self, cost: float) -> None:
        """Takes the cost; a negative cost gives it back."""
        self.level = min(self.burst, self.level - cost)


class WorkspaceAccount:
    """Both buckets of one workspace."""

    def __init__(self, workspace: Workspace) -> None:
        """Starts with the whole burst."""
        self._requests = TokenBucket(
            workspace.requests_per_s, workspace.request_burst
        )
        self._tokens = TokenBucket(
            workspace.tokens_per_s, workspace.token_burst
        )
        self.wrongful = 0

    def send(self, observation: Observation) -> None:
        """Takes a request at the time it was sent."""
        cost_tokens = observation.planned.cost_tokens
        self._advance(observation.sent_at_s)
        if observation.verdict is not Verdict.REFUSED:
            self._requests.draw(1)
            self._tokens.draw(cost_tokens)
        elif observation.code == ErrorKind.RATE_LIMITED.value:
            self.wrongful += self._has(cost_tokens)

    def settle(self, observation: Observation) -> None:
        """Gives back what an admitted request did not use."""
        if observation.verdict is Verdict.REFUSED:
            return
        self._advance(observation.ended_at_s)
        unused = observation.planned.cost_tokens - observation.used_tokens
        self._tokens.draw(-unused)

    def _advance(self, at_s: float) -> None:
        self._requests.advance(at_s)
        self._tokens.advance(at_s)

    def _has(self, cost_tokens: int) -> bool:
        return self._requests.level >= 1 and self._tokens.level >= cost_tokens


def wrongful_refusals(
    workspace: Workspace, observations: Iterable[Observation]
) -> int:
    """Counts requests refused by rate though inside rate and burst.

    Only requests that were let in draw from the account, at the time of
    their sending; what they did not use comes back at their end.
    """
    account = WorkspaceAccount(workspace)
    events = [(one.sent_at_s, account.send, one) for one in observations]
    events += [
        (one.ended_at_s, account.settle, one) for _, _, one in tuple(events)
    ]
    for _, apply, observation in sorted(events, key=itemgetter(0)):
        apply(observation)
    return account.wrongful


__all__ = ('TokenBucket', 'wrongful_refusals')
