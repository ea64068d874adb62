"""Checks a log of admissions against rate and burst in every window."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

TOLERANCE_UNITS = 1e-6
"""Allowance for rounding errors in sums of floats."""


@dataclass(frozen=True, slots=True, order=True)
class Admission:
    """Units admitted at one time, on a clock that all nodes share."""

    at_s: float
    units: float


@dataclass(frozen=True, slots=True)
class WindowViolation:
    """A time window (ends included) that admitted more than its bound."""

    start_s: float
    end_s: float
    units: float
    bound: float


def window_violations(
    admissions: Iterable[Admission], rate: float, burst: float
) -> list[WindowViolation]:
    """Returns the worst window that ends at each violating admission.

    A window ``[a, b]`` exceeds its bound if ``sum - rate * (b - a)`` exceeds
    the burst. The largest such excess over all starts ``a`` follows from the
    one at the previous admission, so that a single pass covers every window
    (Kadane's maximum suffix). A start between two admissions is never worse
    than the later of them.

    Args:
        admissions: Admissions of all nodes, in any order.
        rate: Units a second.
        burst: Units above the rate.
    """
    violations = []
    excess = units = start_s = last_s = 0.0
    for admission in sorted(admissions):
        carried = excess - rate * (admission.at_s - last_s)
        if carried <= 0:
            carried, units, start_s = 0.0, 0.0, admission.at_s
        excess = carried + admission.units
        units += admission.units
        last_s = admission.at_s
        if excess > burst + TOLERANCE_UNITS:
            bound = burst + rate * (last_s - start_s)
            violations.append(WindowViolation(start_s, last_s, units, bound))
    return violations


__all__ = ('Admission', 'WindowViolation', 'window_violations')
