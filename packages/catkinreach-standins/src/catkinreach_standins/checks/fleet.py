"""Configuration, failure domains, keys and queue over a run."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from .records import Violation

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from .records import EngineStep, QueueSample, RevisionSample

NEW_WORK_GRACE_S = 3.0
NEW_WORK_KINDS = frozenset({'prefill', 'import', 'decode', 'run'})


def check_revisions(samples: Iterable[RevisionSample]) -> list[Violation]:
    """Returns the moments at which a node's revision went back."""
    highest: dict[tuple[str, str], int] = {}
    violations = []
    for sample in sorted(samples, key=lambda one: one.at_s):
        life = (sample.vm_id, sample.incarnation)
        before = highest.get(life, 0)
        if sample.revision < before:
            violations.append(
                Violation(
                    rule='revision-never-reverts',
                    subject=sample.vm_id,
                    detail=f'went from {before} back to {sample.revision}',
                    at_s=sample.at_s,
                )
            )
        highest[life] = max(before, sample.revision)
    return violations


def check_no_new_work(
    steps: Iterable[EngineStep],
    upstreams: Iterable[str],
    *,
    out_since_s: float,
    back_at_s: float,
    grace_s: float = NEW_WORK_GRACE_S,
) -> list[Violation]:
    """Returns work that upstreams got while they were to get none."""
    closed = frozenset(upstreams)
    return [
        Violation(
            rule='no-new-work',
            subject=step.upstream,
            detail=f'{step.kind} {step.at_s - out_since_s:.2f} s after',
            at_s=step.at_s,
        )
        for step in steps
        if step.upstream in closed
        and step.kind in NEW_WORK_KINDS
        and out_since_s + grace_s < step.at_s < back_at_s
    ]


def check_keys(
    captures: Mapping[str, bytes], keys: Iterable[str]
) -> list[Violation]:
    """Returns upstreams that received a key; digests count as keys too.

    The key itself never stands in a violation.
    """
    violations = []
    for number, key in enumerate(keys):
        digest = hashlib.sha256(key.encode()).hexdigest()
        needles = (key.encode(), digest.encode())
        violations += [
            Violation(
                rule='no-upstream-sees-a-key',
                subject=upstream,
                detail=f'received key number {number}',
            )
            for upstream, received in captures.items()
            if any(needle in received for needle in needles)
        ]
    return violations


def check_queue(
    samples: Iterable[QueueSample],
    *,
    max_requests: int,
    max_tokens: int,
    max_age_s: float,
    slack_s: float = 1.0,
) -> list[Violation]:
    """Returns samples of a queue beyond its bounds.

    Args:
        samples: Queues seen.
        max_requests: Bound in requests.
        max_tokens: Bound in tokens.
        max_age_s: Longest wait in seconds.
        slack_s: Seconds by which the sweep of old entries may lag.
    """
    violations = []
    for sample in samples:
        is_within = (
            sample.requests <= max_requests
            and sample.tokens <= max_tokens
            and sample.oldest_age_s <= max_age_s + slack_s
        )
        if not is_within:
            violations.append(
                Violation(
                    rule='queue-bounded',
                    subject=sample.cell,
                    detail=(
                        f'{sample.requests} requests, {sample.tokens} '
                        f'tokens, oldest {sample.oldest_age_s:.1f} s'
                    ),
                    at_s=sample.at_s,
                )
            )
    return violations


__all__ = (
    'check_keys',
    'check_no_new_work',
    'check_queue',
    'check_revisions',
)
