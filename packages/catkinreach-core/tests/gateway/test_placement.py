"""Placement of requests on upstreams.

Load patterns: prompts that arrive faster than they are prefilled, memory that
fills up, upstreams that fail a part of their requests.
"""

from __future__ import annotations

from catkinreach_core.gateway.health import HealthTable
from catkinreach_core.gateway.load_table import (
    PEER_LOAD_TTL_S,
    LoadTable,
    UpstreamLoad,
)
from catkinreach_core.gateway.output_estimate import OutputEstimate
from catkinreach_core.gateway.placement import (
    Candidate,
    StreamNeed,
    choose_plain_upstream,
    plan_stream,
)
from catkinreach_core.gateway.upstream import Stage
from catkinreach_core.gateway.view import KnownUpstream
from catkinreach_core.ids import FailureDomainId, UpstreamId
from catkinreach_standins.fakes.gateway import TRAITS, make_upstream

HERE = FailureDomainId('here')
NEED = StreamNeed(prompt_tokens=5000, memory_tokens=5600)
UPSTREAM = UpstreamId('a')


def _candidate(
    name: str,
    *,
    stage: Stage = Stage.WHOLE,
    load: UpstreamLoad | None = None,
    penalty: float = 1.0,
    domain: str = 'here',
) -> Candidate:
    upstream = make_upstream(name, stage=stage, domain=domain)
    known = KnownUpstream(upstream=upstream, cold_until_s=0.0)
    return Candidate(known, load or UpstreamLoad(), penalty, is_cold=False)


def _no_jitter() -> float:
    return 0.0


def test_plain_request_goes_to_the_least_loaded_upstream() -> None:
    busy = _candidate('busy', load=UpstreamLoad(running=3))
    idle = _candidate('idle', domain='there')
    chosen = choose_plain_upstream([busy, idle], HERE, _no_jitter)
    assert chosen is idle.known


def test_plain_request_prefers_its_own_failure_domain() -> None:
    there, here = _candidate('there', domain='there'), _candidate('here')
    assert choose_plain_upstream([there, here], HERE, _no_jitter) is here.known


def test_failure_penalty_rises_and_decays() -> None:
    health = HealthTable()
    for _ in range(3):
        health.record_failure(UPSTREAM, 0.0)
    assert health.penalty(UPSTREAM, 0.0) > 5
    assert health.penalty(UPSTREAM, 30.0) < 1.1


def test_unreachable_upstream_is_probed_with_backoff() -> None:
    health = HealthTable()
    health.record_unreachable(UPSTREAM, 0.0)
    assert health.is_down(UPSTREAM)
    assert not health.due_probes(0.2)
    assert health.due_probes(0.3) == (UPSTREAM,)
    health.record_unreachable(UPSTREAM, 0.3)
    assert not health.due_probes(0.8)
    health.record_reachable(UPSTREAM)
    assert not health.is_down(UPSTREAM)


def test_replaced_upstream_stays_down_until_it_is_forgotten() -> None:
    health = HealthTable()
    health.record_replaced(UPSTREAM, 0.0)
    health.record_reachable(UPSTREAM)
    health.record_unreachable(UPSTREAM, 1.0)
    assert health.is_down(UPSTREAM)
    assert not health.due_probes(1e6)
    health.forget(UPSTREAM)
    assert not health.is_down(UPSTREAM)


def test_idle_prefill_engine_prefills_the_prompt() -> None:
    prefill_engine = _candidate('prefill', stage=Stage.PREFILL)
    decode_engine = _candidate('decode', stage=Stage.DECODE)
    plan = plan_stream([prefill_engine, decode_engine], NEED, TRAITS)
    assert plan is not None
    assert plan.prefill is prefill_engine.known
    assert plan.decode is decode_engine.known


def test_decode_engine_prefills_during_a_prefill_backlog() -> None:
    backlog = UpstreamLoad(running=8, prefill_tokens=40_000)
    prefill_engine = _candidate('prefill', stage=Stage.PREFILL, load=backlog)
    plan = plan_stream(
        [prefill_engine, _candidate('decode', stage=Stage.DECODE)],
        NEED,
        TRAITS,
    )
    assert plan is not None
    assert plan.prefill is None


def test_stream_needs_memory_at_the_decode_engine() -> None:
    full = UpstreamLoad(running=10, memory_tokens=TRAITS.memory_tokens - 5000)
    decode_engine = _candidate('decode', stage=Stage.DECODE, load=full)
    prefill_engine = _candidate('prefill', stage=Stage.PREFILL)
    assert plan_stream([prefill_engine, decode_engine], NEED, TRAITS) is None


def test_stream_needs_a_decode_engine() -> None:
    prefill_engine = _candidate('prefill', stage=Stage.PREFILL)
    assert plan_stream([prefill_engine], NEED, TRAITS) is None


def test_loads_of_a_silent_peer_no_longer_count() -> None:
    loads = LoadTable()
    loads.begin_work(UPSTREAM, UpstreamLoad(running=1))
    loads.set_peer_loads('peer', {UPSTREAM: UpstreamLoad(running=2)}, 0.0)
    assert loads.total_load(UPSTREAM, PEER_LOAD_TTL_S).running == 3
    assert loads.total_load(UPSTREAM, PEER_LOAD_TTL_S + 0.1).running == 1
    loads.end_work(UPSTREAM, UpstreamLoad(running=1))
    assert loads.own_loads() == {}


def test_reserved_memory_follows_the_actual_output_of_streams() -> None:
    estimate = OutputEstimate()
    first = estimate.memory_tokens(5000, 1760)
    for _ in range(100):
        estimate.record_output_ratio(0.3)
    assert 5000 < estimate.memory_tokens(5000, 1760) < first
