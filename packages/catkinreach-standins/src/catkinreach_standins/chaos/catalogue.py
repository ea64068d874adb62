"""The faults that a random run draws from, each with its way back."""

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
    """A fault that has begun.

    Attributes:
        title: What happened, in words.
        party: What no other fault may touch until this one ends, if any.
        end: Undoes it.
    """

    title: str
    party: str
    end: Callable[[], None]


class Catalogue:
    """Begins faults drawn by the scenario's seed."""

    def __init__(self, trial: Scenario) -> None:
        """Draws for one scenario."""
        self._trial = trial
        self._faults = trial.faults
        self._kinds: dict[str, tuple[Callable[[], Fault], ...]] = {
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
                self._domain_out,
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

    def begin(self, busy: frozenset[str]) -> Fault | None:
        """Begins a fault that touches none of the busy parties."""
        draw = self._trial.random
        free = [party for party in self._kinds if party not in busy]
        return draw.choice(self._kinds[draw.choice(free)])() if free else None

    def _vm(self) -> str:
        return self._trial.random.choice(self._faults.vm_ids())

    def _pair(self) -> tuple[str, str]:
        one, other = self._trial.random.sample(self._faults.vm_ids(), 2)
        return one, other

    def _upstream(self) -> str:
        names = sorted(self._trial.deployment.settings.upstreams)
        return self._trial.random.choice(names)

    def _kill_vm(self) -> Fault:
        vm_id = self._vm()
        self._faults.kill(vm_id)
        return Fault(
            f'{vm_id} is killed',
            VMS,
            lambda: self._faults.restart_vm(vm_id),
        )

    def _stop_vm(self) -> Fault:
        vm_id = self._vm()
        process = self._faults.process(vm_id)
        process.terminate()

        def end() -> None:
            process.stop()
            self._faults.restart_vm(vm_id)

        return Fault(f'{vm_id} is asked to stop', VMS, end)

    def _freeze_vm(self) -> Fault:
        vm_id = self._vm()
        self._faults.freeze(vm_id)
        return Fault(
            f'{vm_id} pauses',
            VMS,
            lambda: self._faults.resume(vm_id),
        )

    def _replace_vm(self) -> Fault:
        vm_id = self._vm()
        new = self._faults.replace_vm(vm_id)
        return Fault(f'{vm_id} is replaced by {new}', '', _nothing)

    def _cut_pair(self) -> Fault:
        one, other = self._pair()
        self._faults.cut(one, other)
        return Fault(
            f'{one} and {other} are cut off from each other',
            VMS,
            self._faults.heal,
        )

    def _cut_one_way(self) -> Fault:
        one, other = self._pair()
        self._faults.cut_one_way(one, other)
        return Fault(
            f'bytes from {one} to {other} vanish',
            VMS,
            self._faults.heal,
        )

    def _isolate_vm(self) -> Fault:
        vm_id = self._vm()
        self._faults.isolate(vm_id)
        return Fault(
            f'{vm_id} is cut off from all others',
            VMS,
            self._faults.heal,
        )

    def _cut_platform(self) -> Fault:
        vm_id = self._vm()
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
        name = self._upstream()
        self._faults.kill(name)
        return Fault(f'{name} dies', UPSTREAMS, _nothing)

    def _freeze_upstream(self) -> Fault:
        name = self._upstream()
        self._faults.freeze(name)
        return Fault(
            f'{name} pauses',
            UPSTREAMS,
            lambda: self._faults.resume(name),
        )

    def _reset_upstream(self) -> Fault:
        name = self._upstream()
        self._faults.act('nodes', name, OneTimeFault.RESET)
        return Fault(f'connections to {name} are reset', '', _nothing)

    def _stall_upstream(self) -> Fault:
        return self._fault_on_link('stalls', LinkFaults(up=_STALL, down=_STALL))

    def _slow_upstream(self) -> Fault:
        return self._fault_on_link('is slow', LinkFaults(up=_SLOW, down=_SLOW))

    def _fault_on_link(self, verb: str, faults: LinkFaults) -> Fault:
        name = self._upstream()
        self._faults.set_faults('nodes', name, faults)
        return Fault(
            f'the link to {name} {verb}',
            UPSTREAMS,
            lambda: self._faults.set_faults('nodes', name, LinkFaults()),
        )

    def _lose_state(self) -> Fault:
        name = self._trial.random.choice(
            ['pattern-decode-1', 'pattern-decode-2', 'pattern-prefill-1']
        )
        self._upstream_faults(name, restart_boot=True, cold=True)
        return Fault(f'{name} loses its state', '', _nothing)

    def _drop_order_answers(self) -> Fault:
        for name in ('bee-app-1', 'bee-app-2', 'bee-app-3'):
            self._upstream_faults(name, die_before_answer=2)
        return Fault('answers of orders are lost', '', _nothing)

    def _upstream_faults(self, name: str, **faults: object) -> None:
        deployment = self._trial.deployment
        if not deployment.processes[name].is_running:
            return
        port = deployment.settings.upstreams[UpstreamId(name)].port
        deployment.standin_call(port, 'POST', '/standin/faults', faults)

    def _domain_out(self) -> Fault:
        domains = sorted(self._trial.deployment.settings.failure_domains)
        domain = self._trial.random.choice(domains)
        section = f'failure-domain {domain}'
        self._edit(section, 'state', 'out-of-service')
        return Fault(
            f'{domain} is taken out',
            PLATFORM,
            lambda: self._edit(section, 'state', 'in-service'),
        )

    def _withdraw_key(self) -> Fault:
        section = 'workspace studio-desk'
        digests = self._trial.fleet_text.partition(f'[{section}]')[2]
        line = next(one for one in digests.splitlines() if 'key_digests' in one)
        self._edit(section, 'key_digests', f'sha256:{"0" * 64}')
        return Fault(
            'the key of studio-desk is withdrawn',
            PLATFORM,
            lambda: self._edit(
                section, 'key_digests', line.partition('=')[2].strip()
            ),
        )

    def _edit(self, section: str, option: str, to: str) -> None:
        trial = self._trial
        trial.publish(set_option(trial.fleet_text, section, option, to))


def _nothing() -> None:
    """A fault that ends by itself."""


__all__ = ('Catalogue', 'Fault')
