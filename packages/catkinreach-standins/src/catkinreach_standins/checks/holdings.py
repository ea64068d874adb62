"""Checks that engines hold no KV cache for requests that have ended."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .records import Violation

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from .records import HoldingSample

RULE = 'no-leaked-holding'
HOLDING_GRACE_S = 5.0


def check_holdings(
    samples: Iterable[HoldingSample],
    ended_s: Mapping[str, float],
    *,
    grace_s: float = HOLDING_GRACE_S,
) -> list[Violation]:
    """Returns holdings that outlived their request by more than ``grace_s``.

    Args:
        samples: Holdings reported by engines.
        ended_s: End of each request that has ended, by request id.
        grace_s: Seconds that a holding may outlive its request.
    """
    return [
        Violation(
            rule=RULE,
            subject=f'{sample.upstream}/{sample.request_id}',
            detail=f'held {sample.at_s - end_s:.1f} s after its request ended',
            at_s=sample.at_s,
        )
        for sample in samples
        if (end_s := ended_s.get(sample.request_id)) is not None
        and sample.at_s > end_s + grace_s
    ]


def check_holdings_after_run(
    samples: Iterable[HoldingSample],
    last_end_s: float,
    *,
    grace_s: float = HOLDING_GRACE_S,
) -> list[Violation]:
    """Returns holdings that engines report after all requests have ended.

    Args:
        samples: Holdings reported by engines.
        last_end_s: End of the last request of the run.
        grace_s: Seconds that a holding may outlive its request.
    """
    sample_list = list(samples)
    ends = {sample.request_id: last_end_s for sample in sample_list}
    return check_holdings(sample_list, ends, grace_s=grace_s)


__all__ = ('HOLDING_GRACE_S', 'check_holdings', 'check_holdings_after_run')
