"""Finds holdings on engines whose requests have ended.

A holding is the capacity that an engine keeps for a request; its holder is
the process that runs the request. It is freed only if the holder reports that
the request has ended, or if the holder's process is known to be dead. A holder
that does not answer keeps it for the longest time that a request may run.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..ids import Incarnation, RequestId, UpstreamId, VmId

MAX_REQUEST_S = 600.0
"""Longest time that a request runs.

Older holdings of a VM that does not answer are orphans.
"""

UNLISTED_S = 30.0
"""Time without an answer after which a VM not on the list counts as dead."""

EXPORT_KIND = 'export'


@dataclass(frozen=True, slots=True)
class HolderId:
    """One incarnation of an entry VM's process."""

    vm: VmId
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class EngineHolding:
    """One holding as an engine reports it."""

    upstream_id: UpstreamId
    request_id: RequestId
    holder: HolderId
    kind: str
    kv_pieces: int
    age_s: float


class HolderState(Enum):
    """What is known about the process that owns holdings.

    ``ANSWERED`` means that it answered a query, ``DEAD`` that it has ended and
    ``SILENT`` that it did not answer and may still run.
    """

    ANSWERED = 'answered'
    DEAD = 'dead'
    SILENT = 'silent'


@dataclass(frozen=True, slots=True)
class HolderReport:
    """A holder's report on its requests on one engine.

    Attributes:
        state: What is known about the process.
        live: Its requests that still use the engine.
        is_listed: Whether the published list names the VM.
        silent_s: Time since the holder's last answer, or since the first query
            if it never answered.
    """

    state: HolderState
    live: frozenset[RequestId] = frozenset()
    is_listed: bool = True
    silent_s: float = 0.0


def find_orphans(
    holdings: Iterable[EngineHolding], report: HolderReport
) -> tuple[EngineHolding, ...]:
    """Returns the holdings of one holder that must be freed."""
    return tuple(holding for holding in holdings if _is_orphan(holding, report))


def _is_orphan(holding: EngineHolding, report: HolderReport) -> bool:
    if report.state is HolderState.DEAD:
        return True
    if report.state is HolderState.ANSWERED:
        return holding.request_id not in report.live
    if holding.age_s > MAX_REQUEST_S:
        return True
    return not report.is_listed and report.silent_s > UNLISTED_S


__all__ = (
    'EXPORT_KIND',
    'MAX_REQUEST_S',
    'UNLISTED_S',
    'EngineHolding',
    'HolderId',
    'HolderReport',
    'HolderState',
    'find_orphans',
)
