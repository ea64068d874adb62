"""Start-up settings of a gateway process, typed."""

from __future__ import annotations

from msgspec import Struct

from catkinreach_core.ids import FailureDomainId, VmId
from catkinreach_core.settings.node import Address


class SharedBounds(Struct, frozen=True, kw_only=True):
    """Bounds that all nodes keep together.

    Attributes:
        stop_grace_s: Time from SIGTERM to the kill.
        repeat_ratio: Repeated sends per request.
        repeat_slack: Repeated sends beyond the ratio in one window.
        repeat_window_s: Window of repeated sends.
        quota_window_s: Window of workspace limits.
        quota_slack: Cost beyond a workspace's limit in one window.
    """

    stop_grace_s: float
    repeat_ratio: float
    repeat_slack: float
    repeat_window_s: float
    quota_window_s: float
    quota_slack: float


class GatewaySettings(Struct, frozen=True, kw_only=True):
    """Addresses and bounds of one process.

    Attributes:
        vm_id: Name of the VM.
        domain_id: Its failure domain.
        host: Its IP number.
        caller_address: Where callers connect.
        ready_address: Where the balancer asks for readiness.
        peer_address: Where peers send datagrams.
        metrics_address: Where metrics are served.
        store_address: Where the store is.
        peer_hosts: IP numbers of some peers.
        bounds: Bounds over all nodes.
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


__all__ = ('GatewaySettings', 'SharedBounds')
