"""Random faults of the chaos run, each with the action that reverts it."""

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
_STALL_BYTES = DirectionFaults(stall=True)
_SLOW_BYTES = DirectionFaults(bytes_per_s=20_000, delay_s=0.05, jitter_s=0.2)


@dataclass(frozen=True, slots=True)
class Fault:
    """An injected fault.

    Attributes:
        title: Description for the printed log.
        group: Group of faults from which no other is injected until this one
            is reverted; empty if it does not block its group.
        revert: Removes the fault.
    """

    title: str
    group: str
    revert: Callable[[], None]


class FaultCatalog:
    """Draws faults with the scenario's random generator and injects them."""

    def __init__(self, scenario: Scenario) -> None:
        """Uses the deployment of a scenario."""
        self._scenario = scenario
        self._faults = scenario.faults
        self._injectors: dict[str, tuple[Callable[[], Fault], ...]] = {
            VMS: (
                self._kill_vm,
                self._freeze_vm,
                self._terminate_vm,
                self._replace_vm,
                self._cut_vm_pair,
                self._cut_one_way,
                self._isolate_vm,
            ),
            PLATFORM: (
                self._cut_platform,
                self._stop_platform,
                self._make_platform_stale,
                self._set_domain_out_of_service,
                self._withdraw_key,
            ),
            UPSTREAMS: (
                self._kill_upstream,
                self._freeze_upstream,
                self._reset_upstream_connections,
                self._stall_upstream_link,
                self._slow_upstream_link,
                self._reset_upstream_state,
                self._drop_order_answers,
            ),
        }

    def inject(self, busy_groups: frozenset[str]) -> Fault | None:
        """Injects a random fault of a group that has no active one.

        Args:
            busy_groups: Groups that have an active fault.

        Returns:
            The fault, ``None`` if all groups are busy.
        """
        rng = self._scenario.random
        free_groups = [
            group for group in self._injectors if group not in busy_groups
        ]
        return (
            rng.choice(self._injectors[rng.choice(free_groups)])()
            if free_groups
            else None
        )

    def _draw_vm(self) -> str:
        return self._scenario.random.choice(self._faults.vm_ids())

    def _draw_vm_pair(self) -> tuple[str, str]:
        first, second = self._scenario.random.sample(self._faults.vm_ids(), 2)
        return first, second

    def _draw_upstream(self) -> str:
        upstream_ids = sorted(self._scenario.deployment.settings.upstreams)
        return self._scenario.random.choice(upstream_ids)

    def _kill_vm(self) -> Fault:
        vm_id = self._draw_vm()
        self._faults.kill(vm_id)
        return Fault(
            f'{vm_id} is killed',
            VMS,
            lambda: self._faults.restart_vm(vm_id),
        )

    def _terminate_vm(self) -> Fault:
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
        new_vm_id = self._faults.replace_vm(vm_id)
        return Fault(f'{vm_id} is replaced by {new_vm_id}', '', _revert_nothing)

    def _cut_vm_pair(self) -> Fault:
        first, second = self._draw_vm_pair()
        self._faults.cut(first, second)
        return Fault(
            f'{first} and {second} are cut off from each other',
            VMS,
            self._faults.heal,
        )

    def _cut_one_way(self) -> Fault:
        source, target = self._draw_vm_pair()
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

    def _stop_platform(self) -> Fault:
        self._faults.set_platform_faults(down=True)
        return Fault(
            'the platform is down',
            PLATFORM,
            lambda: self._faults.set_platform_faults(down=False),
        )

    def _make_platform_stale(self) -> Fault:
        self._faults.set_platform_faults(stale=True)
        return Fault(
            'the platform is stale',
            PLATFORM,
            lambda: self._faults.set_platform_faults(stale=False),
        )

    def _kill_upstream(self) -> Fault:
        upstream_id = self._draw_upstream()
        self._faults.kill(upstream_id)
        return Fault(f'{upstream_id} dies', UPSTREAMS, _revert_nothing)

    def _freeze_upstream(self) -> Fault:
        upstream_id = self._draw_upstream()
        self._faults.freeze(upstream_id)
        return Fault(
            f'{upstream_id} pauses',
            UPSTREAMS,
            lambda: self._faults.resume(upstream_id),
        )

    def _reset_upstream_connections(self) -> Fault:
        upstream_id = self._draw_upstream()
        self._faults.inject_once('nodes', upstream_id, OneTimeFault.RESET)
        return Fault(
            f'connections to {upstream_id} are reset', '', _revert_nothing
        )

    def _stall_upstream_link(self) -> Fault:
        return self._set_link_faults(
            'stalls', LinkFaults(up=_STALL_BYTES, down=_STALL_BYTES)
        )

    def _slow_upstream_link(self) -> Fault:
        return self._set_link_faults(
            'is slow', LinkFaults(up=_SLOW_BYTES, down=_SLOW_BYTES)
        )

    def _set_link_faults(self, verb: str, faults: LinkFaults) -> Fault:
        upstream_id = self._draw_upstream()
        self._faults.set_faults('nodes', upstream_id, faults)
        return Fault(
            f'the link to {upstream_id} {verb}',
            UPSTREAMS,
            lambda: self._faults.set_faults('nodes', upstream_id, LinkFaults()),
        )

    def _reset_upstream_state(self) -> Fault:
        upstream_id = self._scenario.random.choice(
            ['pattern-decode-1', 'pattern-decode-2', 'pattern-prefill-1']
        )
        self._set_upstream_faults(upstream_id, restart_boot=True, cold=True)
        return Fault(f'{upstream_id} loses its state', '', _revert_nothing)

    def _drop_order_answers(self) -> Fault:
        for upstream_id in ('bee-app-1', 'bee-app-2', 'bee-app-3'):
            self._set_upstream_faults(upstream_id, die_before_answer=2)
        return Fault('answers of orders are lost', '', _revert_nothing)

    def _set_upstream_faults(self, upstream_id: str, **faults: object) -> None:
        deployment = self._scenario.deployment
        if not deployment.processes[upstream_id].is_running:
            return
        port = deployment.settings.upstreams[UpstreamId(upstream_id)].port
        deployment.standin_call(port, 'POST', '/standin/faults', faults)

    def _set_domain_out_of_service(self) -> Fault:
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
        digests_line = next(
            line for line in options.splitlines() if 'key_digests' in line
        )
        self._publish_option(section, 'key_digests', f'sha256:{"0" * 64}')
        return Fault(
            'the key of studio-desk is withdrawn',
            PLATFORM,
            lambda: self._publish_option(
                section, 'key_digests', digests_line.partition('=')[2].strip()
            ),
        )

    def _publish_option(self, section: str, option: str, value: str) -> None:
        scenario = self._scenario
        scenario.publish(
            set_option(scenario.fleet_text, section, option, value)
        )


def _revert_nothing() -> None:
    """Does nothing, for faults that need no revert."""


__all__ = ('Fault', 'FaultCatalog')
