"""Plans the requests of an open-loop run from a workload and a seed.

The same workload, options and seed always give the same plan.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from functools import lru_cache
from typing import TYPE_CHECKING

import msgspec

from catkinreach_core.tokens import WordTokenizer

from .workload import RequestKind

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from catkinreach_core.ids import WorkspaceId

    from .workload import RequestClass, Surge, Workload, WorkspaceShare

DISTINCT_WORD_COUNT = 50_000
"""Number of different words in random prompts."""

PREFIX_CACHE_ENTRIES = 1024
"""Number of generated prompt prefixes that are cached."""

_MESSAGE_ROLE = 'user'
_tokenizer = WordTokenizer()


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """One request to be sent.

    Attributes:
        at_s: Intended send time, from the start of the run.
        workspace_id: Workspace that sends it.
        request_class: Class of the workload that it belongs to.
        body: HTTP body.
        prompt: Token ids of the prompt; empty for requests to plain services.
        output_tokens: Length of the complete answer.
        salt: Random bits for the idempotency key and the body of an order.
    """

    at_s: float
    workspace_id: WorkspaceId
    request_class: RequestClass
    body: bytes
    prompt: tuple[int, ...]
    output_tokens: int
    salt: int

    @property
    def cost_tokens(self) -> int:
        """Returns the tokens that the rate limiter reserves for it."""
        return len(self.prompt) + self.output_tokens


@dataclass(frozen=True, slots=True, kw_only=True)
class PlanOptions:
    """Rate, duration and seed of a plan.

    Attributes:
        rate_per_s: Requests of all classes and workspaces a second.
        duration_s: Measured time.
        seed: Seed of all random choices.
        warmup_s: Time before the measured time; its requests are sent but not
            measured.
        surges: Surges of workspaces above their usual rate.
    """

    rate_per_s: float
    duration_s: float
    seed: int
    warmup_s: float = 0.0
    surges: tuple[Surge, ...] = ()

    @property
    def total_s(self) -> float:
        """Returns the time over which requests are sent."""
        return self.warmup_s + self.duration_s


def plan_requests(
    workload: Workload, options: PlanOptions
) -> list[PlannedRequest]:
    """Returns Poisson arrivals, ordered by time.

    Each workspace has its own random generator, and a surge adds requests
    from another one. A surge therefore leaves all other requests as they are,
    and runs with and without it can be compared request by request.
    """
    requests = [
        request
        for workspace_share in workload.workspaces
        for request in _plan_workspace(workload, workspace_share, options)
    ]
    return sorted(requests, key=lambda request: request.at_s)


def _plan_workspace(
    workload: Workload, workspace_share: WorkspaceShare, options: PlanOptions
) -> Iterator[PlannedRequest]:
    workspace_id = workspace_share.workspace_id
    total_share = sum(workspace.share for workspace in workload.workspaces)
    usual_rate_per_s = options.rate_per_s * workspace_share.share / total_share
    for process_index, rate_per_s in _arrival_rates(
        usual_rate_per_s, workspace_id, options
    ):
        rng = random.Random(f'{options.seed}/{workspace_id}/{process_index}')
        for at_s in _arrival_times(rng, rate_per_s, options.total_s):
            if process_index and not _is_surging(workspace_id, at_s, options):
                continue
            yield _plan_request(workload, workspace_id, at_s, rng, options.seed)


def _arrival_rates(
    usual_rate_per_s: float, workspace_id: WorkspaceId, options: PlanOptions
) -> Iterator[tuple[int, float]]:
    """Yields the index and rate of each arrival process: 0 usual, 1 surge."""
    yield 0, usual_rate_per_s
    factors = [
        surge.factor
        for surge in options.surges
        if surge.workspace_id == workspace_id
    ]
    if factors:
        yield 1, usual_rate_per_s * (max(factors) - 1)


def _is_surging(
    workspace_id: WorkspaceId, at_s: float, options: PlanOptions
) -> bool:
    return any(
        surge.factor_at(workspace_id, at_s) > 1 for surge in options.surges
    )


def _arrival_times(
    rng: random.Random, rate_per_s: float, duration_s: float
) -> Iterator[float]:
    if rate_per_s <= 0:
        return
    at_s = rng.expovariate(rate_per_s)
    while at_s < duration_s:
        yield at_s
        at_s += rng.expovariate(rate_per_s)


def _plan_request(
    workload: Workload,
    workspace_id: WorkspaceId,
    at_s: float,
    rng: random.Random,
    seed: int,
) -> PlannedRequest:
    request_class = _choose_class(workload.classes, rng)
    salt = rng.getrandbits(74)
    if request_class.kind is not RequestKind.MODEL:
        return PlannedRequest(
            at_s=at_s,
            workspace_id=workspace_id,
            request_class=request_class,
            body=_plain_body(request_class, salt),
            prompt=(),
            output_tokens=0,
            salt=salt,
        )
    text = _prompt_text(workspace_id, request_class, rng, seed)
    output_tokens = request_class.output_tokens.sample(rng)
    return PlannedRequest(
        at_s=at_s,
        workspace_id=workspace_id,
        request_class=request_class,
        body=_chat_body(workload.model, text, output_tokens, request_class),
        prompt=_tokenizer.encode(f'{_MESSAGE_ROLE}: {text}'),
        output_tokens=output_tokens,
        salt=salt,
    )


def _choose_class(
    classes: Sequence[RequestClass], rng: random.Random
) -> RequestClass:
    return rng.choices(
        classes, [request_class.share for request_class in classes]
    )[0]


def _prompt_text(
    workspace_id: WorkspaceId,
    request_class: RequestClass,
    rng: random.Random,
    seed: int,
) -> str:
    prefix_index = rng.randrange(request_class.prefix_count)
    prefix = _prefix_text(
        f'{seed}/{workspace_id}/{request_class.name}/{prefix_index}',
        request_class.prefix_tokens,
    )
    unique = _random_text(rng, request_class.unique_tokens.sample(rng))
    return f'{prefix} {unique}'.strip()


@lru_cache(maxsize=PREFIX_CACHE_ENTRIES)
def _prefix_text(seed: str, count: int) -> str:
    return _random_text(random.Random(seed), count)


def _random_text(rng: random.Random, count: int) -> str:
    return ' '.join(
        f'w{rng.randrange(DISTINCT_WORD_COUNT)}' for _ in range(count)
    )


def _chat_body(
    model: str, text: str, output_tokens: int, request_class: RequestClass
) -> bytes:
    return msgspec.json.encode(
        {
            'model': model,
            'messages': [{'role': _MESSAGE_ROLE, 'content': text}],
            'max_tokens': output_tokens,
            'stream': request_class.is_streamed,
        }
    )


def _plain_body(request_class: RequestClass, salt: int) -> bytes:
    if request_class.kind is RequestKind.READ:
        return b''
    return msgspec.json.encode({'item': f'{salt:x}'})


__all__ = ('PlanOptions', 'PlannedRequest', 'plan_requests')
