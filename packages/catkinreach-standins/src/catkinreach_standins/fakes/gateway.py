"""Upstreams and engine traits with default values for gateway tests."""

from __future__ import annotations

from catkinreach_core.gateway.catalog import EngineTraits
from catkinreach_core.gateway.upstream import (
    NO_SOFTWARE_VERSION,
    Stage,
    Upstream,
    UpstreamState,
)
from catkinreach_core.ids import (
    FailureDomainId,
    ServiceId,
    SoftwareVersion,
    UpstreamId,
)
from catkinreach_core.settings.node import Address

SERVICE = ServiceId('service')
TRAITS = EngineTraits(
    memory_tokens=60_000,
    token_bytes=163_840,
    link_mbps=1_400_000,
    handle_ttl_s=0.5,
    event_tokens=11,
    stage_switch_s=6.0,
)


def make_upstream(
    name: str,
    *,
    stage: Stage = Stage.WHOLE,
    state: UpstreamState = UpstreamState.READY,
    domain: str = 'here',
    cold_s: float = 0.0,
    address: Address | None = None,
    software_version: SoftwareVersion = NO_SOFTWARE_VERSION,
) -> Upstream:
    """Returns an upstream with four slots.

    Args:
        name: Id of the upstream.
        stage: Stage that it serves.
        state: Whether it accepts new work.
        domain: Id of its failure domain.
        cold_s: Seconds that it stays cold.
        address: Address, by default a port that nothing listens on.
        software_version: Version of its software.
    """
    return Upstream(
        upstream_id=UpstreamId(name),
        service_id=SERVICE,
        address=address or Address(host='127.0.0.1', port=1),
        domain_id=FailureDomainId(domain),
        state=state,
        stage=stage,
        slots=4,
        cold_s=cold_s,
        started_ms=0,
        software_version=software_version,
    )


__all__ = ('SERVICE', 'TRAITS', 'make_upstream')
