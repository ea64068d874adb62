"""Verbs that bring faults about in a deployment with a fault proxy."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from ..faultproxy.faults import (
    ANY_SOURCE,
    DirectionFaults,
    LinkFaults,
    OneTimeFault,
)
from .links import (
    CALLERS,
    NODES,
    PLATFORM,
    ProxyLinks,
    caller_link,
    peer_link,
    platform_link,
    upstream_link,
)
from .ports import free_ports

if TYPE_CHECKING:
    from .deployment import Deployment
    from .plan import NodePlan
    from .processes import BenchProcess

_CUT = LinkFaults(cut=True)
_LOSE = DirectionFaults(vanish=True)


class FaultInjector:
    """Faults by the names of VMs, upstreams, ``callers``, ``platform``."""

    def __init__(self, deployment: Deployment) -> None:
        """Takes a deployment that has a proxy."""
        if deployment.links is None:
            raise ValueError('the deployment has no fault proxy')
        self._deployment = deployment
        self._links: ProxyLinks = deployment.links
        self._replaced = 0

    @property
    def has_replaced(self) -> bool:
        """Tells whether VMs of the plan have new ids by now."""
        return bool(self._replaced)

    def node(self, vm_id: str) -> NodePlan:
        """Returns the node of a VM."""
        for one in self._deployment.nodes:
            if one.vm_id == vm_id:
                return one
        raise KeyError(vm_id)

    def vm_ids(self) -> list[str]:
        """Returns the ids of the planned VMs."""
        return [node.vm_id for node in self._deployment.nodes]

    def process(self, name: str) -> BenchProcess:
        """Returns a process by its name."""
        return self._deployment.processes[name]

    def exited_upstreams(self) -> list[str]:
        """Returns the upstreams whose process has ended."""
        return [
            upstream_id
            for upstream_id in self._deployment.settings.upstreams
            if not self._deployment.processes[upstream_id].is_running
        ]

    def cut(self, one: str, other: str) -> None:
        """Refuses and breaks all connections between two, both ways."""
        for link, source in self._links_between(one, other):
            self._links.set_faults(link, _CUT, source)

    def cut_one_way(self, source: str, target: str) -> None:
        """Lets the bytes from one VM to another vanish, replies included."""
        self._links.set_faults(peer_link(target), LinkFaults(up=_LOSE), source)
        self._links.set_faults(
            peer_link(source), LinkFaults(down=_LOSE), target
        )

    def isolate(self, vm_id: str) -> None:
        """Cuts a VM off from every other VM; callers still reach it."""
        for other in self._deployment.nodes:
            if other.vm_id != vm_id:
                self.cut(vm_id, other.vm_id)

    def set_faults(self, one: str, other: str, faults: LinkFaults) -> None:
        """Puts faults on every link between two."""
        for link, source in self._links_between(one, other):
            self._links.set_faults(link, faults, source)

    def act(self, one: str, other: str, act: OneTimeFault) -> None:
        """Does a fault once to the open connections between two."""
        for link, source in self._links_between(one, other):
            self._links.act(link, act, source)

    def heal(self) -> None:
        """Ends every fault of the network."""
        self._links.heal()

    def freeze(self, name: str) -> None:
        """Pauses a process."""
        self._deployment.processes[name].freeze()

    def resume(self, name: str) -> None:
        """Lets a paused process go on."""
        self._deployment.processes[name].resume()

    def kill(self, name: str) -> None:
        """Ends a process at once."""
        self._deployment.processes[name].kill()

    def restart_vm(self, vm_id: str) -> None:
        """Starts a VM's ended process anew and waits until it is ready."""
        node = self.node(vm_id)
        self._deployment.start_node(node)
        self._deployment.wait_ready(node)

    def restart_upstream(self, upstream_id: str, *flags: str) -> None:
        """Starts an upstream's ended process anew."""
        upstreams = self._deployment.settings.upstreams
        for upstream in upstreams.values():
            if upstream.upstream_id == upstream_id:
                self._deployment.start_upstream(upstream, *flags)
                self._deployment.wait_listening(upstream_id, upstream.port)

    def replace_vm(self, vm_id: str) -> str:
        """Puts a new VM in the place of one and publishes the list.

        It has another id and peer address; the balancer's backend is the
        same, as the platform sees to it.
        """
        old = self.node(vm_id)
        process = self._deployment.processes[vm_id]
        if process.is_running:
            process.resume()
            process.kill()
        self._replaced += 1
        new = replace(
            old,
            vm_id=f'{vm_id.partition("-r")[0]}-r{self._replaced}',
            peer_port=free_ports(1)[0],
        )
        nodes = self._deployment.nodes
        nodes[nodes.index(old)] = new
        config_port = self._deployment.config_port
        for plan in self._links.plan_node(new, config_port):
            self._links.add(plan)
        self._deployment.start_node(new)
        self._deployment.publish_vms(self._deployment.vm_entries())
        self._deployment.wait_ready(new)
        return new.vm_id

    def mark_leaving(self, vm_id: str) -> None:
        """Publishes a list that calls a VM leaving."""
        entries = [
            {**entry, 'state': 'leaving'} if entry['id'] == vm_id else entry
            for entry in self._deployment.vm_entries()
        ]
        self._deployment.publish_vms(entries)

    def set_platform_faults(self, **faults: bool) -> None:
        """Sets ``down``, ``stale`` or ``frozen_vms`` of the platform."""
        deployment = self._deployment
        deployment.standin_call(
            deployment.config_port, 'POST', '/standin/faults', faults
        )

    def _links_between(self, one: str, other: str) -> list[tuple[str, str]]:
        """Returns links with the source whose connections are meant."""
        pair = {one, other}
        if CALLERS in pair:
            return [(caller_link((pair - {CALLERS}).pop()), ANY_SOURCE)]
        if PLATFORM in pair:
            return [(platform_link((pair - {PLATFORM}).pop()), ANY_SOURCE)]
        if NODES in pair:
            return [(upstream_link((pair - {NODES}).pop()), ANY_SOURCE)]
        return [(peer_link(one), other), (peer_link(other), one)]


__all__ = ('FaultInjector',)
