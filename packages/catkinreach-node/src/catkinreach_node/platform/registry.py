"""Decodes the store entries in which upstreams register."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, TypeVar

import msgspec
from msgspec import Struct

from catkinreach_core.documents import DocumentError, decode_document
from catkinreach_core.gateway.header_text import is_sendable_name
from catkinreach_core.gateway.upstream import Stage, Upstream, UpstreamState
from catkinreach_core.ids import (
    FailureDomainId,
    ServiceId,
    SoftwareVersion,
    UpstreamId,
)
from catkinreach_core.ranges import (
    Count,
    Milliseconds,
    Revision,
    UnixMilliseconds,
)
from catkinreach_core.settings.node import Address

from .addresses import read_address
from .boot import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Mapping

    from catkinreach_core.settings.node import Address

_Value = TypeVar('_Value')

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
    slots: Count
    state: str
    # Cold time remaining when the entry was written, not a total.
    cold_remaining_ms: Milliseconds
    sequence: Revision
    version: str = ''
    stage: str = ''
    born: UnixMilliseconds = 0


_DECODER = msgspec.json.Decoder(_Entry)


def read_upstream(upstream_id: UpstreamId, document: bytes) -> Upstream:
    """Returns the upstream of an entry.

    Raises:
        DocumentError: if it is malformed; it may come from another writer.
    """
    if not is_sendable_name(upstream_id):
        raise DocumentError('the name fits into no header')
    entry = decode_document(_DECODER, document)
    return Upstream(
        upstream_id=upstream_id,
        service_id=ServiceId(entry.service),
        address=_address(entry.address),
        domain_id=FailureDomainId(entry.zone),
        state=_named(STATES, entry.state),
        stage=_named(STAGES, entry.stage),
        slots=entry.slots,
        cold_s=entry.cold_remaining_ms / MS_PER_S,
        started_ms=entry.born,
        software_version=SoftwareVersion(entry.version),
    )


def _named(values: Mapping[str, _Value], name: str) -> _Value:
    """Returns the value of a name.

    Raises:
        DocumentError: if there is no such name.
    """
    if name not in values:
        raise DocumentError(f'unknown name {name!r}')
    return values[name]


def _address(text: str) -> Address:
    """Returns the address of an engine.

    Raises:
        DocumentError: if it isn't an address that can be connected to.
    """
    try:
        return read_address(text)
    except ValueError as error:
        raise DocumentError(str(error)) from error


__all__ = ('read_upstream',)
