"""The faults of the chaos run, each with the action that reverts it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from catkinreach_core.ids import UpstreamId

from ..bench.fleet_text_edits import set_option
from ..faultproxy.faults import DirectionFaults, LinkFaults, OneTimeFault

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..bench.scenario import Scenario

VMS = 'vms'
PLATFORM = 'platform'
UPSTREAMS = 'upstreams'
_STALL = DirectionFaults(stall=True)
_SLOW = DirectionFaults(bytes_per_s=20_000, delay_s=0.05, jitter_s=0.2)


@dataclass(frozen=True, slots=True)
class Fault:
    """An injected fault.

    Attributes:
        title: Description for the printed log.
        group: Group of processes in which no other fault may be injected until
            this one is reverted; empty if any may.
        revert: Removes the fault.
    """

    title: str
    group: str
    revert: Callable[[], None]


class FaultCatalog:
    """Injects faults that are drawn from the scenario's random numbers."""

    def __init__(self, scenario: Scenario) -> None:
        """Injects into the deployment of a scenario."""
        self._scenario = scenario
        self._faults = scenario.faults
        self._injectors: dict[str, tuple[Callable[[], Fault], ...]] = {
            VMS: (
                self._kill_vm,
                self._freeze_vm,
                self._stop_vm,
                self._replace_vm,
                self._cut_pair,
                self._cut_one_way,
                self._isolate_vm,
            ),
            PLATFORM: (
                self._cut_platform,
                self._platform_down,
                self._platform_stale,
                self._take_domain_out,
                self._withdraw_key,
            ),
            UPSTREAMS: (
                self._kill_upstream,
                self._freeze_upstream,
                self._reset_upstream,
                self._stall_upstream,
                self._slow_upstream,
                self._lose_state,
                self._drop_order_answers,
            ),
        }

    def inject(self, busy: frozenset[str]) -> Fault | None:
        """Injects a fault in a group that is not busy, if there is one."""
        rng = self._scenario.random
        free_groups = [group for group in self._injectors if group not in busy]
        return (
            rng.choice(self._injectors[rng.choice(free_groups)])()
            if free_groups
            else None
        )

    def _draw_vm(self) -> str:
        return self._scenario.random.choice(self._faults.vm_ids())

    def _draw_pair(self) -> tuple[str, str]:
        first, second = self._scenario.random.sample(self._faults.vm_ids(), 2)
        return first, second

    def _draw_upstream(self) -> str:
        names = sorted(self._scenario.deployment.settings.upstreams)
        return self._scenario.random.choice(names)

    def _kill_vm(self) -> Fault:
        vm_id = self._draw_vm()
        self._faults.kill(vm_id)
        return Fault(
            f'{vm_id} is killed',
            VMS,
            lambda: self._faults.restart_vm(vm_id),
        )

    def _stop_vm(self) -> Fault:
        vm_id = self._draw_vm()
        process = self._faults.process(vm_id)
        process.terminate()

        def revert() -> None:
            process.stop()
            self._faults.restart_vm(vm_id)

        return Fault(f'{vm_id} is asked to stop', VMS, revert)

    def _freeze_vm(self) -> Fault:
        vm_id = self._draw_vm()
        self._faults.freeze(vm_id)
        return Fault(
            f'{vm_id} pauses',
            VMS,
            lambda: self._faults.resume(vm_id),
        )

    def _replace_vm(self) -> Fault:
        vm_id = self._draw_vm()
        new = self._faults.replace_vm(vm_id)
        return Fault(f'{vm_id} is replaced by {new}', '', _no_revert)

    def _cut_pair(self) -> Fault:
        first, second = self._draw_pair()
        self._faults.cut(first, second)
        return Fault(
            f'{first} and {second} are cut off from each other',
            VMS,
            self._faults.heal,
        )

    def _cut_one_way(self) -> Fault:
        source, target = self._draw_pair()
        self._faults.cut_one_way(source, target)
        return Fault(
            f'bytes from {source} to {target} vanish',
            VMS,
            self._faults.heal,
        )

    def _isolate_vm(self) -> Fault:
        vm_id = self._draw_vm()
        self._faults.isolate(vm_id)
        return Fault(
            f'{vm_id} is cut off from all others',
            VMS,
            self._faults.heal,
        )

    def _cut_platform(self) -> Fault:
        vm_id = self._draw_vm()
        self._faults.cut(vm_id, PLATFORM)
        return Fault(
            f'{vm_id} is cut off from the platform',
            PLATFORM,
            self._faults.heal,
        )

    def _platform_down(self) -> Fault:
        self._faults.set_platform_faults(down=True)
        return Fault(
            'the platform is down',
            PLATFORM,
            lambda: self._faults.set_platform_faults(down=False),
        )

    def _platform_stale(self) -> Fault:
        self._faults.set_platform_faults(stale=True)
        return Fault(
            'the platform is stale',
            PLATFORM,
            lambda: self._faults.set_platform_faults(stale=False),
        )

    def _kill_upstream(self) -> Fault:
        name = self._draw_upstream()
        self._faults.kill(name)
        return Fault(f'{name} dies', UPSTREAMS, _no_revert)

    def _freeze_upstream(self) -> Fault:
        name = self._draw_upstream()
        self._faults.freeze(name)
        return Fault(
            f'{name} pauses',
            UPSTREAMS,
            lambda: self._faults.resume(name),
        )

    def _reset_upstream(self) -> Fault:
        name = self._draw_upstream()
        self._faults.inject_once('nodes', name, OneTimeFault.RESET)
        return Fault(f'connections to {name} are reset', '', _no_revert)

    def _stall_upstream(self) -> Fault:
        return self._set_link_faults(
            'stalls', LinkFaults(up=_STALL, down=_STALL)
        )

    def _slow_upstream(self) -> Fault:
        return self._set_link_faults(
            'is slow', LinkFaults(up=_SLOW, down=_SLOW)
        )

    def _set_link_faults(self, verb: str, faults: LinkFaults) -> Fault:
        name = self._draw_upstream()
        self._faults.set_faults('nodes', name, faults)
        return Fault(
            f'the link to {name} {verb}',
            UPSTREAMS,
            lambda: self._faults.set_faults('nodes', name, LinkFaults()),
        )

    def _lose_state(self) -> Fault:
        name = self._scenario.random.choice(
            ['pattern-decode-1', 'pattern-decode-2', 'pattern-prefill-1']
        )
        self._set_upstream_faults(name, restart_boot=True, cold=True)
        return Fault(f'{name} loses its state', '', _no_revert)

    def _drop_order_answers(self) -> Fault:
        for name in ('bee-app-1', 'bee-app-2', 'bee-app-3'):
            self._set_upstream_faults(name, die_before_answer=2)
        return Fault('answers of orders are lost', '', _no_revert)

    def _set_upstream_faults(self, name: str, **faults: object) -> None:
        deployment = self._scenario.deployment
        if not deployment.processes[name].is_running:
            return
        port = deployment.settings.upstreams[UpstreamId(name)].port
        deployment.standin_call(port, 'POST', '/standin/faults', faults)

    def _take_domain_out(self) -> Fault:
        domains = sorted(self._scenario.deployment.settings.failure_domains)
        domain = self._scenario.random.choice(domains)
        section = f'failure-domain {domain}'
        self._publish_option(section, 'state', 'out-of-service')
        return Fault(
            f'{domain} is taken out',
            PLATFORM,
            lambda: self._publish_option(section, 'state', 'in-service'),
        )

    def _withdraw_key(self) -> Fault:
        section = 'workspace studio-desk'
        options = self._scenario.fleet_text.partition(f'[{section}]')[2]
        line = next(
            option for option in options.splitlines() if 'key_digests' in option
        )
        self._publish_option(section, 'key_digests', f'sha256:{"0" * 64}')
        return Fault(
            'the key of studio-desk is withdrawn',
            PLATFORM,
            lambda: self._publish_option(
                section, 'key_digests', line.partition('=')[2].strip()
            ),
        )

    def _publish_option(self, section: str, option: str, value: str) -> None:
        scenario = self._scenario
        scenario.publish(
            set_option(scenario.fleet_text, section, option, value)
        )


def _no_revert() -> None:
    """Reverts a fault that ends by itself: does nothing."""


__all__ = ('Fault', 'FaultCatalog')
