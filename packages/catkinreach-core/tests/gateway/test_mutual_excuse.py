"""Parts of prompts that run beside each other whenever an engine crashes."""

from __future__ import annotations

from catkinreach_core.gateway.crash_suspects import (
    CrashSource,
    CrashSuspects,
    SuspectKey,
)

CRASHING = SuspectKey('crashing')
PARTS = (CRASHING, *(SuspectKey(f'harmless-{number}') for number in range(4)))
MAX_CRASHES = 5
ROUNDS = 15


def test_parts_that_crash_together_excuse_each_other() -> None:
    # Soak seed 481 with 40 fronts: 15 crashes, no stream answered for 30 s.
    suspects = CrashSuspects()
    crash_count = 0
    for number in range(ROUNDS):
        now_s = float(number)
        running = [
            part for part in PARTS if not suspects.is_quarantined([part], now_s)
        ]
        if CRASHING in running:
            crash_count += 1
            for part in running:
                suspects.record_crash([part], CrashSource(number), now_s)
        else:
            suspects.clear_now(running, now_s)
    assert crash_count <= MAX_CRASHES
