"""Checks that admitted units stay within burst and rate over any window."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .records import CallEnd, Violation

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .records import CallRecord

RULE = 'rate-and-burst'
TOLERANCE_UNITS = 1e-6


@dataclass(frozen=True, slots=True)
class AdmittedSpan:
    """Units that were admitted at an unknown moment within a time span."""

    start_s: float
    end_s: float
    units: float


def admitted_requests(
    calls: Iterable[CallRecord], workspace: str
) -> list[AdmittedSpan]:
    """Returns spans of the workspace's successful, hence admitted, calls."""
    return [
        AdmittedSpan(call.sent_s, call.ended_s, 1.0)
        for call in calls
        if call.workspace == workspace
        and call.end is CallEnd.ANSWERED
        and call.is_success
    ]


def check_rate(
    spans: Iterable[AdmittedSpan],
    *,
    workspace: str,
    rate: float,
    burst: float,
) -> list[Violation]:
    """Returns, for each start, the window that exceeds the limit most.

    A span counts for a window only if it lies wholly inside, since a unit may
    otherwise have been admitted outside. For spans of zero length the check is
    exact over every window.
    """
    ordered = sorted(spans, key=lambda span: span.end_s)
    violations = []
    for start_s in sorted({span.start_s for span in ordered}):
        worst = _worst_excess(ordered, start_s, rate)
        if worst.units > burst + TOLERANCE_UNITS:
            violations.append(
                Violation(
                    rule=RULE,
                    subject=workspace,
                    detail=(
                        f'{worst.units - burst:.3f} units over the limit in '
                        f'{worst.end_s - worst.start_s:.3f} s'
                    ),
                    at_s=worst.end_s,
                )
            )
    return violations


def _worst_excess(
    ordered: list[AdmittedSpan], start_s: float, rate: float
) -> AdmittedSpan:
    """Returns the window from a start with the most units above the rate."""
    worst = AdmittedSpan(start_s, start_s, 0.0)
    units = 0.0
    for span in ordered:
        if span.start_s < start_s:
            continue
        units += span.units
        excess = units - rate * (span.end_s - start_s)
        if excess > worst.units:
            worst = AdmittedSpan(start_s, span.end_s, excess)
    return worst


__all__ = ('AdmittedSpan', 'admitted_requests', 'check_rate')
