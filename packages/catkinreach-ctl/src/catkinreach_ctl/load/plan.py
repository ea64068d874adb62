"""Arrivals of a workload: an open-loop plan that depends on a seed alone."""

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

WORD_COUNT = 50_000
PREFIX_CACHE_ENTRIES = 1024
_ROLE = 'user'
_tokenizer = WordTokenizer()


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """One request before it is sent.

    Attributes:
        at_s: Intended time of sending, from the start of the run.
        workspace_id: Workspace whose key it carries.
        request_class: Its class.
        body: The HTTP body.
        prompt: Token ids that the engines will see; empty for plain ones.
        output_tokens: Length of the whole answer.
        salt: Random bits for its idempotency key.
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
        """Returns the tokens that a limiter reserves for it."""
        return len(self.prompt) + self.output_tokens


@dataclass(frozen=True, slots=True, kw_only=True)
class PlanOptions:
    """How much traffic a plan has.

    Attributes:
        rate_per_s: Requests of all classes and workspaces a second.
        duration_s: Time over which measured requests arrive.
        seed: Seed of all random choices.
        warmup_s: Time before, whose requests are sent but not measured.
        surges: Workspaces that exceed their usual rate.
    """

    rate_per_s: float
    duration_s: float
    seed: int
    warmup_s: float = 0.0
    surges: tuple[Surge, ...] = ()

    @property
    def total_s(self) -> float:
        """Returns the time over which requests arrive."""
        return self.warmup_s + self.duration_s


def plan_requests(
    workload: Workload, options: PlanOptions
) -> list[PlannedRequest]:
    """Draws Poisson arrivals, each workspace from a stream of its own.

    A surge of one workspace leaves the arrivals of the others as they are,
    so that runs with and without it can be compared request by request.
    """
    drawn = [
        request
        for share in workload.workspaces
        for request in _plan_workspace(workload, share, options)
    ]
    return sorted(drawn, key=lambda request: request.at_s)


def _plan_workspace(
    workload: Workload, share: WorkspaceShare, options: PlanOptions
) -> Iterator[PlannedRequest]:
    workspace_id = share.workspace_id
    every = sum(one.share for one in workload.workspaces)
    usual = options.rate_per_s * share.share / every
    for surge_layer, rate_per_s in _layers(usual, workspace_id, options):
        rng = random.Random(f'{options.seed}/{workspace_id}/{surge_layer}')
        for at_s in _arrivals(rng, rate_per_s, options.total_s):
            if surge_layer and not _is_surging(workspace_id, at_s, options):
                continue
            yield _draw(workload, workspace_id, at_s, rng, options.seed)


def _layers(
    usual: float, workspace_id: WorkspaceId, options: PlanOptions
) -> Iterator[tuple[int, float]]:
    yield 0, usual
    factors = [
        surge.factor
        for surge in options.surges
        if surge.workspace_id == workspace_id
    ]
    if factors:
        yield 1, usual * (max(factors) - 1)


def _is_surging(
    workspace_id: WorkspaceId, at_s: float, options: PlanOptions
) -> bool:
    return any(
        surge.factor_at(workspace_id, at_s) > 1 for surge in options.surges
    )


def _arrivals(
    rng: random.Random, rate_per_s: float, duration_s: float
) -> Iterator[float]:
    if rate_per_s <= 0:
        return
    at_s = rng.expovariate(rate_per_s)
    while at_s < duration_s:
        yield at_s
        at_s += rng.expovariate(rate_per_s)


def _draw(
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
    output_tokens = request_class.output_tokens.draw(rng)
    return PlannedRequest(
        at_s=at_s,
        workspace_id=workspace_id,
        request_class=request_class,
        body=_chat_body(workload.model, text, output_tokens, request_class),
        prompt=_tokenizer.encode(f'{_ROLE}: {text}'),
        output_tokens=output_tokens,
        salt=salt,
    )


def _choose_class(
    classes: Sequence[RequestClass], rng: random.Random
) -> RequestClass:
    return rng.choices(classes, [one.share for one in classes])[0]


def _prompt_text(
    workspace_id: WorkspaceId,
    request_class: RequestClass,
    rng: random.Random,
    seed: int,
) -> str:
    number = rng.randrange(request_class.prefix_count)
    prefix = _words(
        f'{seed}/{workspace_id}/{request_class.name}/{number}',
        request_class.prefix_tokens,
    )
    unique = _draw_words(rng, request_class.unique_tokens.draw(rng))
    return f'{prefix} {unique}'.strip()


@lru_cache(maxsize=PREFIX_CACHE_ENTRIES)
def _words(seed: str, count: int) -> str:
    return _draw_words(random.Random(seed), count)


def _draw_words(rng: random.Random, count: int) -> str:
    return ' '.join(f'w{rng.randrange(WORD_COUNT)}' for _ in range(count))


def _chat_body(
    model: str, text: str, output_tokens: int, request_class: RequestClass
) -> bytes:
    return msgspec.json.encode(
        {
            'model': model,
            'messages': [{'role': _ROLE, 'content': text}],
            'max_tokens': output_tokens,
            'stream': request_class.is_streamed,
        }
    )


def _plain_body(request_class: RequestClass, salt: int) -> bytes:
    if request_class.kind is RequestKind.READ:
        return b''
    return msgspec.json.encode({'item': f'{salt:x}'})


__all__ = ('PlanOptions', 'PlannedRequest', 'plan_requests')
