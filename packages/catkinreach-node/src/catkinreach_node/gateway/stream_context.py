"""Data that the steps of serving one stream share."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from catkinreach_core.gateway.catalog import EngineTraits
    from catkinreach_core.gateway.placement import StreamNeed
    from catkinreach_core.ids import SoftwareVersion

    from .admitted_request import AdmittedRequest
    from .attempts import Attempts
    from .node import Node


@dataclass(slots=True)
class VersionPin:
    """Software version that a stream must go on at.

    Attributes:
        version: The version; ``None`` before the caller has an event.
    """

    version: SoftwareVersion | None = None


@dataclass(frozen=True, slots=True)
class StreamContext:
    """One stream with its request, sends and needs.

    Attributes:
        node: State of the gateway process.
        admitted: Admitted request.
        attempts: Sends of the request.
        need: Memory and prefill work that the stream needs.
        traits: Properties of the service's engines.
        pin: Software version that the stream must go on at.
    """

    node: Node
    admitted: AdmittedRequest
    attempts: Attempts
    need: StreamNeed
    traits: EngineTraits
    pin: VersionPin


__all__ = ('StreamContext', 'VersionPin')
