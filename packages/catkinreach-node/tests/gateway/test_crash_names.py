"""Crashes of upstreams, by the names that nodes give them."""

from __future__ import annotations

import pytest

from catkinreach_core.gateway.crash_suspects import CrashSuspects, SuspectKey
from catkinreach_node.gateway.suspect_keys import crash_source
from catkinreach_standins.fakes.gateway import make_upstream

CRASHING = SuspectKey('crashing')
HARMLESS = SuspectKey('harmless')
EARLIER_CRASHES_S = (101.0, 105.0)
REFUSAL_S = 112.0


@pytest.mark.parametrize(
    ('seen_s', 'also_seen_s'),
    [(109.0, 109.0), (109.995, 110.005), (109.0, 110.2), (109.0, 111.5)],
)
def test_crash_that_is_seen_twice_gets_two_names(
    seen_s: float, also_seen_s: float
) -> None:
    # Soak seeds 407, 458 and 471: harmless parts of prompts were refused.
    upstream = make_upstream('d')
    suspects = CrashSuspects()
    for key, last_s in ((CRASHING, seen_s), (HARMLESS, also_seen_s)):
        for crash_s in (*EARLIER_CRASHES_S, last_s):
            suspects.record_crash([key], crash_source(upstream), crash_s)
    assert not suspects.is_quarantined([HARMLESS], REFUSAL_S)
    assert suspects.is_quarantined([HARMLESS, CRASHING], REFUSAL_S)
