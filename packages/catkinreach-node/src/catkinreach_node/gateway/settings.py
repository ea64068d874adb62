"""Start-up settings of a gateway process."""

from __future__ import annotations

import math

from msgspec import Struct

from catkinreach_core.ids import FailureDomainId, VmId
from catkinreach_core.settings.node import Address


class SharedBounds(Struct, frozen=True, kw_only=True):
    """Bounds that apply to all nodes together.

    Attributes:
        stop_grace_s: Time from SIGTERM to SIGKILL.
        apply_within_s: Time within which a published change must apply.
        repeat_ratio: Retries per request.
        repeat_slack: Retries beyond the ratio in one window.
        repeat_window_s: Window of the retry budget.
        quota_window_s: Window of workspace limits.
        quota_excess_ratio: Tolerated excess over a workspace's limit in one
            window, as a fraction of the limit.
        quota_slack: Tolerated cost beyond that.
    """

    stop_grace_s: float
    apply_within_s: float
    repeat_ratio: float
    repeat_slack: float
    repeat_window_s: float
    quota_window_s: float
    quota_excess_ratio: float
    quota_slack: float


class GatewaySettings(Struct, frozen=True, kw_only=True):
    """Settings of one gateway process.

    Attributes:
        vm_id: Name of the VM.
        domain_id: Its failure domain.
        host: Its IP address.
        caller_address: Address for callers.
        ready_address: Address of the readiness endpoint.
        peer_address: Address for peers' datagrams.
        metrics_address: Address of the metrics endpoint.
        store_address: Address of the configuration store.
        peer_hosts: IP addresses of some peers.
        bounds: Bounds that apply to all nodes together.
        link_bytes_per_s: Bandwidth of the VM's link; infinite if not known.
        memory_bytes: Memory that the process may use; 0 if not known.
        max_descriptors: Descriptors that it may open; 0 if not known.
    """

    vm_id: VmId
    domain_id: FailureDomainId
    host: str
    caller_address: Address
    ready_address: Address
    peer_address: Address
    metrics_address: Address
    store_address: Address
    peer_hosts: tuple[str, ...]
    bounds: SharedBounds
    link_bytes_per_s: float = math.inf
    memory_bytes: int = 0
    max_descriptors: int = 0


__all__ = ('GatewaySettings', 'SharedBounds')
