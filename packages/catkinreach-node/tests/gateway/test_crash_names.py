"""Crashes of upstreams, by the names that nodes give them."""

from __future__ import annotations

import pytest

from catkinreach_core.gateway.crash_suspects import CrashSuspects, SuspectKey
from catkinreach_node.gateway.suspect_keys import crash_id
from catkinreach_standins.fakes.gateway import make_upstream

CRASHING = SuspectKey('crashing')
SOUND = SuspectKey('sound')
CRASHES_S = (101.0, 105.0, 109.0)
REFUSAL_S = 112.0


@pytest.mark.parametrize('late_s', [0.0, 1.2, 2.5])
def test_node_that_was_paused_names_a_crash_anew(late_s: float) -> None:
    # Soak seeds 407 and 471: sound parts of prompts were refused.
    upstream = make_upstream('d')
    suspects = CrashSuspects()
    for crash_s in CRASHES_S:
        suspects.record_crash([CRASHING], crash_id(upstream, crash_s), crash_s)
    *others_s, last_s = CRASHES_S
    for crash_s in (*others_s, last_s + late_s):
        suspects.record_crash([SOUND], crash_id(upstream, crash_s), crash_s)
    assert not suspects.is_quarantined([SOUND], REFUSAL_S)
    assert suspects.is_quarantined([SOUND, CRASHING], REFUSAL_S)
