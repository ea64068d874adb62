"""What all parts of one stream's way share."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from catkinreach_core.gateway.catalog import EngineTraits
    from catkinreach_core.gateway.placement import StreamNeed

    from .call import Attempts, Call
    from .node import Node


@dataclass(frozen=True, slots=True)
class StreamContext:
    """One stream.

    Attributes:
        node: The node's beliefs.
        call: The admitted request.
        attempts: Its sends.
        need: What it needs of engines.
        traits: Traits of the service's engines.
    """

    node: Node
    call: Call
    attempts: Attempts
    need: StreamNeed
    traits: EngineTraits


__all__ = ('StreamContext',)
