"""Data that the steps of serving one stream share."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Self

from catkinreach_core.gateway.placement import StreamNeed

if TYPE_CHECKING:
    from catkinreach_core.gateway.catalog import EngineTraits
    from catkinreach_core.ids import SoftwareVersion

    from .admitted_request import AdmittedRequest
    from .attempts import Attempts
    from .node import Node


DEFAULT_PROMPT_TOKENS = 1000
"""Tokens of a prompt whose length isn't given."""


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

    @classmethod
    def for_request(
        cls,
        node: Node,
        admitted: AdmittedRequest,
        attempts: Attempts,
        traits: EngineTraits,
    ) -> Self:
        """Returns the context of a stream that isn't pinned yet."""
        prompt_tokens = admitted.metadata.prompt_tokens
        if prompt_tokens is None:
            prompt_tokens = DEFAULT_PROMPT_TOKENS
        need = StreamNeed(
            prompt_tokens=prompt_tokens,
            memory_tokens=node.output_estimate.memory_tokens(
                prompt_tokens, admitted.metadata.output_tokens
            ),
        )
        return cls(node, admitted, attempts, need, traits, VersionPin())


__all__ = ('StreamContext', 'VersionPin')
