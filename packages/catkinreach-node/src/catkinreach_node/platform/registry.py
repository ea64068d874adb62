"""Decodes the store entries in which upstreams register."""

from __future__ import annotations

from typing import Final

import msgspec
from msgspec import Struct

from catkinreach_core.gateway.upstream import Stage, Upstream, UpstreamState
from catkinreach_core.ids import FailureDomainId, ServiceId, UpstreamId
from catkinreach_core.settings.node import Address

from .boot import MS_PER_S

STATES: Final = {
    'ready': UpstreamState.READY,
    'draining': UpstreamState.DRAINING,
}
STAGES: Final = {
    '': Stage.WHOLE,
    'prefill': Stage.PREFILL,
    'decode': Stage.DECODE,
}


class _Entry(Struct, rename='kebab'):
    service: str
    address: str
    zone: str
    slots: int
    state: str
    # Cold time remaining when the entry was written, not a total.
    cold_remaining_ms: float
    sequence: int
    version: str = ''
    stage: str = ''
    born: int = 0


_DECODER = msgspec.json.Decoder(_Entry)


def read_upstream(upstream_id: UpstreamId, document: bytes) -> Upstream | None:
    """Returns the upstream of an entry; ``None`` if it is malformed."""
    try:
        entry = _DECODER.decode(document)
        return Upstream(
            upstream_id=upstream_id,
            service_id=ServiceId(entry.service),
            address=Address.from_text(entry.address),
            domain_id=FailureDomainId(entry.zone),
            state=STATES[entry.state],
            stage=STAGES[entry.stage],
            slots=entry.slots,
            cold_s=entry.cold_remaining_ms / MS_PER_S,
            started_ms=entry.born,
        )
    except (msgspec.DecodeError, KeyError, ValueError):
        return None


__all__ = ('read_upstream',)
