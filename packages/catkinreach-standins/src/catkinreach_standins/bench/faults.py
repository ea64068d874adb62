"""Injects faults into the processes and links of a deployment."""

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
_DROP_BYTES = DirectionFaults(vanish=True)


class FaultInjector:
    """Injects faults into a deployment that has a fault proxy.

    The two endpoints of a link are given as ids of VMs or upstreams, or as
    ``callers``, ``platform`` or ``nodes``. For the link from all VMs to an
    upstream they are ``nodes`` and the id of the upstream.
    """

    def __init__(self, deployment: Deployment) -> None:
        """Uses a deployment and the links of its fault proxy.

        Raises:
            ValueError: the deployment has no fault proxy.
        """
        if deployment.links is None:
            raise ValueError('the deployment has no fault proxy')
        self._deployment = deployment
        self._links: ProxyLinks = deployment.links
        self._replaced_count = 0

    @property
    def has_replaced_vm(self) -> bool:
        """Returns whether a VM was replaced by a new one with another id."""
        return bool(self._replaced_count)

    def node(self, vm_id: str) -> NodePlan:
        """Returns the planned node of a VM.

        Raises:
            KeyError: there is no such VM.
        """
        for node in self._deployment.nodes:
            if node.vm_id == vm_id:
                return node
        raise KeyError(vm_id)

    def vm_ids(self) -> list[str]:
        """Returns the ids of the planned VMs."""
        return [node.vm_id for node in self._deployment.nodes]

    def process(self, name: str) -> BenchProcess:
        """Returns a process by its name."""
        return self._deployment.processes[name]

    def exited_upstreams(self) -> list[str]:
        """Returns the ids of upstreams whose process has exited."""
        return [
            upstream_id
            for upstream_id in self._deployment.settings.upstreams
            if not self._deployment.processes[upstream_id].is_running
        ]

    def cut(self, first: str, second: str) -> None:
        """Resets connections between two endpoints, also new ones."""
        for link, source in self._links_between(first, second):
            self._links.set_faults(link, _CUT, source)

    def cut_one_way(self, source: str, target: str) -> None:
        """Drops all bytes from one VM to another.

        That includes the bytes on connections that the other VM opened.
        """
        self._links.set_faults(
            peer_link(target), LinkFaults(up=_DROP_BYTES), source
        )
        self._links.set_faults(
            peer_link(source), LinkFaults(down=_DROP_BYTES), target
        )

    def isolate(self, vm_id: str) -> None:
        """Cuts a VM off from all other VMs; callers still reach it."""
        for peer in self._deployment.nodes:
            if peer.vm_id != vm_id:
                self.cut(vm_id, peer.vm_id)

    def set_faults(self, first: str, second: str, faults: LinkFaults) -> None:
        """Replaces the faults of every link between two endpoints."""
        for link, source in self._links_between(first, second):
            self._links.set_faults(link, faults, source)

    def inject_once(self, first: str, second: str, fault: OneTimeFault) -> None:
        """Applies a one-time fault to open connections of two endpoints."""
        for link, source in self._links_between(first, second):
            self._links.inject_once(link, fault, source)

    def heal(self) -> None:
        """Removes the faults of all links."""
        self._links.heal()

    def freeze(self, name: str) -> None:
        """Pauses a process with SIGSTOP."""
        self._deployment.processes[name].freeze()

    def resume(self, name: str) -> None:
        """Resumes a paused process."""
        self._deployment.processes[name].resume()

    def kill(self, name: str) -> None:
        """Kills a process with SIGKILL."""
        self._deployment.processes[name].kill()

    def restart_vm(self, vm_id: str) -> None:
        """Restarts the exited process of a VM and waits until it is ready."""
        node = self.node(vm_id)
        self._deployment.start_node(node)
        self._deployment.wait_ready(node)

    def restart_upstream(self, upstream_id: str, *extra_flags: str) -> None:
        """Restarts the exited stand-in of an upstream.

        ``extra_flags`` are added to its usual flags.
        """
        upstreams = self._deployment.settings.upstreams
        for upstream in upstreams.values():
            if upstream.upstream_id == upstream_id:
                self._deployment.start_upstream(upstream, *extra_flags)
                self._deployment.wait_listening(upstream_id, upstream.port)

    def replace_vm(self, vm_id: str) -> str:
        """Replaces a VM by a new one and publishes the new VM list.

        The new VM has another id and peer address. It keeps the caller port,
        so that the balancer needs no change; a real platform would update
        the backends of its balancer.

        Returns:
            The id of the new VM.
        """
        old_node = self.node(vm_id)
        process = self._deployment.processes[vm_id]
        if process.is_running:
            process.resume()
            process.kill()
        self._replaced_count += 1
        new_node = replace(
            old_node,
            vm_id=f'{vm_id.partition("-r")[0]}-r{self._replaced_count}',
            peer_port=free_ports(1)[0],
        )
        nodes = self._deployment.nodes
        nodes[nodes.index(old_node)] = new_node
        config_port = self._deployment.config_port
        for link_plan in self._links.plan_node(new_node, config_port):
            self._links.add_link(link_plan)
        self._deployment.start_node(new_node)
        self._deployment.publish_vms(self._deployment.vm_entries())
        self._deployment.wait_ready(new_node)
        return new_node.vm_id

    def mark_vm_leaving(self, vm_id: str) -> None:
        """Publishes a VM list in which the state of a VM is ``leaving``."""
        entries = [
            {**entry, 'state': 'leaving'} if entry['id'] == vm_id else entry
            for entry in self._deployment.vm_entries()
        ]
        self._deployment.publish_vms(entries)

    def set_platform_faults(self, **faults: bool) -> None:
        """Sets faults of the stand-in of the configuration service.

        Args:
            **faults: ``down``, ``stale`` and ``frozen_vms``.
        """
        deployment = self._deployment
        deployment.standin_call(
            deployment.config_port, 'POST', '/standin/faults', faults
        )

    def _links_between(self, first: str, second: str) -> list[tuple[str, str]]:
        """Returns the names of links and the source to which faults apply.

        Between two VMs these are the peer links of both, each with the other
        VM as source.
        """
        pair = {first, second}
        if CALLERS in pair:
            return [(caller_link((pair - {CALLERS}).pop()), ANY_SOURCE)]
        if PLATFORM in pair:
            return [(platform_link((pair - {PLATFORM}).pop()), ANY_SOURCE)]
        if NODES in pair:
            return [(upstream_link((pair - {NODES}).pop()), ANY_SOURCE)]
        return [(peer_link(first), second), (peer_link(second), first)]


__all__ = ('FaultInjector',)
