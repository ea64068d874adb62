"""Tests of slow start, retry budget, prefix blocks and orphaned holdings."""

from __future__ import annotations

import pytest

from catkinreach_core.cell.blocks import block_key, prefix_blocks
from catkinreach_core.cell.holdings import (
    MAX_REQUEST_S,
    EngineHolding,
    HolderId,
    HolderReport,
    HolderState,
    find_orphans,
)
from catkinreach_core.cell.prefix_map import PrefixMap
from catkinreach_core.cell.ramp import SlowStart
from catkinreach_core.cell.retry_budget import RetryBudget
from catkinreach_core.ids import Incarnation, RequestId, UpstreamId, VmId
from catkinreach_standins.answer import block_digests
from catkinreach_standins.fakes.cells import make_engine


def test_prefix_blocks_match_those_of_the_engines() -> None:
    prompt = [number * 7 % 5000 for number in range(1000)]
    keys = tuple(block_key(digest) for digest in block_digests(prompt))
    assert prefix_blocks(prompt) == keys
    assert len(keys) == 3


def test_slow_start_keeps_its_bound_during_warmup() -> None:
    ramp = SlowStart(cold_places=2, warmup_requests=3)
    limits = []
    for _ in range(6):
        limits.append(ramp.limit(20))
        ramp.count_completion()
    assert limits == [2, 2, 2, 2, 5, 8]


def test_published_warm_up_applies_to_a_running_slow_start() -> None:
    ramp = SlowStart(cold_places=2, warmup_requests=3)
    for _ in range(5):
        ramp.count_completion()
    assert ramp.limit(20) == 8
    ramp.set_warmup_requests(12)
    assert ramp.limit(20) == 2


def test_slow_samples_in_a_row_reset_the_slow_start() -> None:
    view = make_engine('d1', places=20)
    assert view.places == 20
    for _ in range(3):
        view.observe_prefill_time(0.1, 0.5)
    assert view.places == 2


def test_restart_resets_the_slow_start_and_the_prefix_map() -> None:
    view = make_engine('p1')
    view.prefixes.store((1, 2))
    assert view.update_boot('other')
    assert view.places == 2
    assert not view.prefixes.cached_tokens((1, 2))


def test_too_few_cached_tokens_clear_the_prefix_map() -> None:
    prefixes = PrefixMap()
    prefixes.store((1, 2, 3, 4))
    prefixes.store((9,))
    assert prefixes.correct_after_prefill(
        (1, 2, 3, 4), expected=1024, reported=0
    )
    assert prefixes.cached_tokens((1, 2)) == 512
    assert not prefixes.cached_tokens((9,))


def test_budget_bounds_retries_to_a_share() -> None:
    budget = RetryBudget(share=0.1, reserve=5)
    spent = 0
    for _ in range(1000):
        budget.record_first_attempt()
        spent += budget.try_spend()
    assert spent <= 5 + 100


def test_budget_spends_all_retries_asked_for_or_none() -> None:
    budget = RetryBudget(share=0.0, reserve=2)
    assert budget.try_spend()
    assert not budget.try_spend(2)
    assert budget.tokens == 1
    budget.give_back()
    assert budget.try_spend(2)
    assert not budget.tokens


def _make_holding(age_s: float = 1.0) -> EngineHolding:
    holder = HolderId(VmId('vm-1'), Incarnation('i1'))
    return EngineHolding(
        UpstreamId('d1'), RequestId('r1'), holder, 'decode', 1, age_s
    )


@pytest.mark.parametrize(
    ('report', 'age_s', 'is_freed'),
    [
        (HolderReport(HolderState.ANSWERED), 1, True),
        (
            HolderReport(HolderState.ANSWERED, frozenset({RequestId('r1')})),
            1,
            False,
        ),
        (HolderReport(HolderState.DEAD), 1, True),
        (HolderReport(HolderState.SILENT, silent_s=99), 99, False),
        (
            HolderReport(HolderState.SILENT, is_listed=False, silent_s=99),
            99,
            True,
        ),
        (
            HolderReport(HolderState.SILENT, is_listed=False, silent_s=5),
            99,
            False,
        ),
        (HolderReport(HolderState.SILENT), MAX_REQUEST_S + 1, True),
    ],
)
def test_holding_is_freed_only_if_its_request_surely_ended(
    report: HolderReport, age_s: float, *, is_freed: bool
) -> None:
    assert bool(find_orphans([_make_holding(age_s)], report)) is is_freed
