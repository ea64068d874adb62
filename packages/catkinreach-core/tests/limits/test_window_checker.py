"""The window checker finds every violation and reports no other."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from catkinreach_core.limits.window_checker import Admission, window_violations

ADMISSIONS = st.lists(
    st.builds(
        Admission,
        at_s=st.integers(0, 40).map(float),
        units=st.integers(1, 9).map(float),
    ),
    max_size=14,
)


def _has_violation(
    admissions: list[Admission], rate: float, burst: float
) -> bool:
    """Returns whether any window, by brute force, exceeds its bound."""
    times = sorted({admission.at_s for admission in admissions})
    return any(
        sum(
            admission.units
            for admission in admissions
            if start <= admission.at_s <= end
        )
        > burst + rate * (end - start)
        for start in times
        for end in times
        if start <= end
    )


def test_exact_use_of_rate_and_burst_passes() -> None:
    used = [Admission(0, 10), *(Admission(at_s, 2) for at_s in range(1, 20))]
    assert not window_violations(used, rate=2, burst=10)


def test_one_unit_too_many_is_found_with_its_window() -> None:
    used = [Admission(0, 1), Admission(50, 10), Admission(51, 3)]
    (found,) = window_violations(used, rate=2, burst=10)
    assert (found.start_s, found.end_s) == (50, 51)
    assert (found.units, found.bound) == (13, 12)


@given(ADMISSIONS, st.integers(0, 3), st.integers(1, 20))
def test_agrees_with_a_check_of_all_windows(
    admissions: list[Admission], rate: float, burst: float
) -> None:
    found = window_violations(admissions, rate, burst)
    assert bool(found) == _has_violation(admissions, rate, burst)
