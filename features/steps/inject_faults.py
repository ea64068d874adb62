"""Steps that inject faults into processes, links and the platform.

They also restart processes and remove faults.
"""

from __future__ import annotations

from typing import Any

from behave import when

from catkinreach_standins.bench.background import restart_each_vm
from catkinreach_standins.bench.fleet_text_edits import set_option
from catkinreach_standins.faultproxy.faults import (
    DirectionFaults,
    LinkFaults,
    OneTimeFault,
)

VM_EXIT_TIMEOUT_S = 30.0

WARMUP_REQUESTS = 12
"""Completions after which an upstream that starts fresh bears full load."""


@when('{name} is killed')
def kill_process(context: Any, name: str) -> None:
    context.fleet_scenario.faults.kill(name)


@when('{name} is frozen')
def freeze_process(context: Any, name: str) -> None:
    context.fleet_scenario.faults.freeze(name)


@when('{name} wakes')
def resume_process(context: Any, name: str) -> None:
    context.fleet_scenario.faults.resume(name)


@when('{vm_id} is asked to stop')
def terminate_vm(context: Any, vm_id: str) -> None:
    context.fleet_scenario.deployment.processes[vm_id].terminate()


@when('VM {vm_id} starts again')
def restart_vm(context: Any, vm_id: str) -> None:
    context.fleet_scenario.faults.restart_vm(vm_id)


@when('upstream {upstream_id} starts again')
def restart_upstream(context: Any, upstream_id: str) -> None:
    context.fleet_scenario.faults.restart_upstream(upstream_id)


@when('upstream {upstream_id} starts fresh and bears {places:d} at first')
def restart_cold_upstream(context: Any, upstream_id: str, places: int) -> None:
    scenario = context.fleet_scenario
    upstream = scenario.deployment.settings.upstreams[upstream_id]
    scenario.publish(
        set_option(
            scenario.fleet_text,
            f'pool {upstream.pool_id}',
            'warmup_requests',
            str(WARMUP_REQUESTS),
        )
    )
    scenario.faults.restart_upstream(
        upstream_id,
        f'--warmup_requests={WARMUP_REQUESTS}',
        f'--cold_places={places}',
    )


@when('{vm_id} is replaced')
def replace_vm(context: Any, vm_id: str) -> None:
    context.replacement = context.fleet_scenario.faults.replace_vm(vm_id)


@when('the link between {one} and {other} is cut')
def cut_link(context: Any, one: str, other: str) -> None:
    context.fleet_scenario.faults.cut(one, other)


@when('{vm_id} is cut off from all other VMs')
def isolate_vm(context: Any, vm_id: str) -> None:
    context.fleet_scenario.faults.isolate(vm_id)


@when('bytes from {source} to {target} vanish')
def cut_link_one_way(context: Any, source: str, target: str) -> None:
    context.fleet_scenario.faults.cut_one_way(source, target)


@when('the link between {one} and {other} is reset')
def reset_link(context: Any, one: str, other: str) -> None:
    context.fleet_scenario.faults.inject_once(one, other, OneTimeFault.RESET)


@when('the link between {one} and {other} closes its way back')
def half_close_link(context: Any, one: str, other: str) -> None:
    context.fleet_scenario.faults.inject_once(
        one, other, OneTimeFault.HALF_CLOSE_DOWN
    )


@when('the link between {one} and {other} stalls')
def stall_link(context: Any, one: str, other: str) -> None:
    stalled = DirectionFaults(stall=True)
    context.fleet_scenario.faults.set_faults(
        one, other, LinkFaults(up=stalled, down=stalled)
    )


@when('answers between {one} and {other} come up to {delay_ms:d} ms late')
def delay_answers(context: Any, one: str, other: str, delay_ms: int) -> None:
    delayed = DirectionFaults(jitter_s=delay_ms / 1000)
    context.fleet_scenario.faults.set_faults(
        one, other, LinkFaults(down=delayed)
    )


@when('the link between {one} and {other} carries {rate:d} bytes a second')
def throttle_link(context: Any, one: str, other: str, rate: int) -> None:
    throttled = DirectionFaults(bytes_per_s=rate)
    context.fleet_scenario.faults.set_faults(
        one, other, LinkFaults(down=throttled)
    )


@when('the network heals')
def heal_network(context: Any) -> None:
    context.fleet_scenario.faults.heal()


@when('the platform goes down')
def stop_platform(context: Any) -> None:
    context.fleet_scenario.faults.set_platform_faults(down=True)


@when('the platform turns stale')
def make_platform_stale(context: Any) -> None:
    context.fleet_scenario.faults.set_platform_faults(stale=True)


@when('the list of VMs is no longer kept up')
def freeze_vm_list(context: Any) -> None:
    context.fleet_scenario.faults.set_platform_faults(frozen_vms=True)


@when('the platform is back')
def restore_platform(context: Any) -> None:
    context.fleet_scenario.faults.set_platform_faults(
        down=False, stale=False, frozen_vms=False
    )


def set_upstream_faults(context: Any, upstream_id: str, **faults: Any) -> None:
    """Sets faults of an upstream stand-in through its control endpoint."""
    deployment = context.fleet_scenario.deployment
    port = deployment.settings.upstreams[upstream_id].port
    deployment.standin_call(port, 'POST', '/standin/faults', faults)


@when('{upstream_id} will die after the next order, before its answer')
def exit_after_next_order(context: Any, upstream_id: str) -> None:
    set_upstream_faults(context, upstream_id, exit_before_answer=True)


@when('every {pool} upstream drops its next answer')
def drop_next_answers(context: Any, pool: str) -> None:
    for (
        upstream
    ) in context.fleet_scenario.deployment.settings.upstreams.values():
        if upstream.pool_id == pool:
            set_upstream_faults(
                context, upstream.upstream_id, die_before_answer=1
            )


@when('every {pool} upstream takes {delay_s:g} s for an answer')
def delay_pool_answers(context: Any, pool: str, delay_s: float) -> None:
    for (
        upstream
    ) in context.fleet_scenario.deployment.settings.upstreams.values():
        if upstream.pool_id == pool:
            set_upstream_faults(context, upstream.upstream_id, delay_s=delay_s)


@when('transfers to {upstream_id} stall for {seconds:g} s')
def stall_transfers(context: Any, upstream_id: str, seconds: float) -> None:
    set_upstream_faults(context, upstream_id, stall_imports_s=seconds)


@when('{upstream_id} turns cold without warning')
def make_upstream_cold(context: Any, upstream_id: str) -> None:
    set_upstream_faults(
        context, upstream_id, cold=True, drop_cache=True, slow_factor=3.0
    )


@when('{upstream_id} loses its state without warning')
def reset_upstream_state(context: Any, upstream_id: str) -> None:
    set_upstream_faults(context, upstream_id, restart_boot=True)


@when('each VM is rolled in turn')
def restart_vms_in_turn(context: Any) -> None:
    restart_each_vm(
        context.fleet_scenario.faults, exit_timeout_s=VM_EXIT_TIMEOUT_S
    )
