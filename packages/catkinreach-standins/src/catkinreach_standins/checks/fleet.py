"""Checks of revisions, work while out of service, API keys and queues."""

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
    """Returns the samples in which a node's revision is lower than before.

    A restarted node is a new incarnation and may start at a lower revision.
    """
    newest_revisions: dict[tuple[str, str], int] = {}
    violations = []
    for sample in sorted(samples, key=lambda record: record.at_s):
        incarnation = (sample.vm_id, sample.incarnation)
        newest = newest_revisions.get(incarnation, 0)
        if sample.revision < newest:
            violations.append(
                Violation(
                    rule='revision-never-reverts',
                    subject=sample.vm_id,
                    detail=f'went from {newest} back to {sample.revision}',
                    at_s=sample.at_s,
                )
            )
        newest_revisions[incarnation] = max(newest, sample.revision)
    return violations


def check_no_new_work(
    steps: Iterable[EngineStep],
    upstreams: Iterable[str],
    *,
    out_since_s: float,
    back_at_s: float,
    grace_s: float = NEW_WORK_GRACE_S,
) -> list[Violation]:
    """Returns new work that upstreams got while they were out of service.

    Args:
        steps: Steps of all engines.
        upstreams: Upstreams that were out of service.
        out_since_s: Time at which they were taken out.
        back_at_s: Time at which they were returned.
        grace_s: Seconds after ``out_since_s`` in which new work is allowed.
    """
    removed_upstreams = frozenset(upstreams)
    return [
        Violation(
            rule='no-new-work',
            subject=step.upstream,
            detail=f'{step.kind} {step.at_s - out_since_s:.2f} s after removal',
            at_s=step.at_s,
        )
        for step in steps
        if step.upstream in removed_upstreams
        and step.kind in NEW_WORK_KINDS
        and out_since_s + grace_s < step.at_s < back_at_s
    ]


def check_keys(
    captures: Mapping[str, bytes], keys: Iterable[str]
) -> list[Violation]:
    """Returns upstreams that received an API key or its SHA-256 digest.

    A violation names the index of the key, never the key itself.
    """
    violations = []
    for key_number, key in enumerate(keys):
        digest = hashlib.sha256(key.encode()).hexdigest()
        needles = (key.encode(), digest.encode())
        violations += [
            Violation(
                rule='no-upstream-sees-a-key',
                subject=upstream,
                detail=f'received key number {key_number}',
            )
            for upstream, received_bytes in captures.items()
            if any(needle in received_bytes for needle in needles)
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
    """Returns samples of wait queues that exceed the bounds.

    Args:
        samples: Samples of the wait queues of cells.
        max_requests: Largest number of queued requests.
        max_tokens: Largest number of tokens of the queued requests.
        max_age_s: Longest wait in seconds.
        slack_s: Seconds by which the removal of expired requests may lag.
    """
    violations = []
    for sample in samples:
        is_within_bounds = (
            sample.requests <= max_requests
            and sample.tokens <= max_tokens
            and sample.oldest_age_s <= max_age_s + slack_s
        )
        if not is_within_bounds:
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
