"""Checks that admitted units stay within rate and burst in any time window."""

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
    """Returns the spans of a workspace's successful, hence admitted, calls."""
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
    """Returns time windows in which more than the limit was admitted.

    Windows start at the start of a span; each start yields at most the window
    that exceeds the limit most. A span counts only if it lies wholly inside a
    window, since its units may otherwise have been admitted outside. With
    spans of zero length the check is exact for every window.
    """
    spans_by_end = sorted(spans, key=lambda span: span.end_s)
    violations = []
    for start_s in sorted({span.start_s for span in spans_by_end}):
        worst_window = _find_worst_window(spans_by_end, start_s, rate)
        if worst_window.units > burst + TOLERANCE_UNITS:
            violations.append(
                Violation(
                    rule=RULE,
                    subject=workspace,
                    detail=(
                        f'{worst_window.units - burst:.3f} units '
                        'over the limit in '
                        f'{worst_window.end_s - worst_window.start_s:.3f} s'
                    ),
                    at_s=worst_window.end_s,
                )
            )
    return violations


def _find_worst_window(
    spans_by_end: list[AdmittedSpan], start_s: float, rate: float
) -> AdmittedSpan:
    """Returns the window from a start with the most units above the rate.

    Its ``units`` are those in excess of the rate.
    """
    worst_window = AdmittedSpan(start_s, start_s, 0.0)
    units = 0.0
    for span in spans_by_end:
        if span.start_s < start_s:
            continue
        units += span.units
        excess = units - rate * (span.end_s - start_s)
        if excess > worst_window.units:
            worst_window = AdmittedSpan(start_s, span.end_s, excess)
    return worst_window


__all__ = ('AdmittedSpan', 'admitted_requests', 'check_rate')
