"""Upstreams as the store lists them."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

from ..ids import FailureDomainId, ServiceId, SoftwareVersion, UpstreamId
from ..settings.node import Address
from .datagram_ranges import Seconds, Tokens, UnixMs

NO_SOFTWARE_VERSION = SoftwareVersion('')


class UpstreamState(Enum):
    """State that an upstream reports of itself."""

    READY = 'ready'
    DRAINING = 'draining'


class Stage(Enum):
    """Part of a request that an upstream runs."""

    WHOLE = 'whole'
    PREFILL = 'prefill'
    DECODE = 'decode'


class Upstream(Struct, frozen=True, kw_only=True):
    """One incarnation of an upstream.

    Attributes:
        upstream_id: Name in the store.
        service_id: Service that it belongs to.
        address: Address on which it listens.
        domain_id: Its failure domain.
        state: Whether it accepts new work.
        stage: ``WHOLE`` for plain upstreams.
        slots: Requests that it runs at once.
        cold_s: Seconds that it stays cold after its entry was received.
        started_ms: Unix time of its start in milliseconds; distinguishes the
            incarnations of one id.
        software_version: Version of its software; what two versions write
            doesn't fit together in one stream. A peer that leaves it out
            doesn't know it, so that there's no default.
    """

    upstream_id: UpstreamId
    service_id: ServiceId
    address: Address
    domain_id: FailureDomainId
    state: UpstreamState
    stage: Stage
    slots: Tokens
    cold_s: Seconds
    started_ms: UnixMs
    software_version: SoftwareVersion


__all__ = ('NO_SOFTWARE_VERSION', 'Stage', 'Upstream', 'UpstreamState')
