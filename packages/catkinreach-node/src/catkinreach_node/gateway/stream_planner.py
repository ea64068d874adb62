"""Plans where to run one stream, from the node's current state."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from catkinreach_core.gateway.placement import MEMORY_USE, plan_stream
from catkinreach_core.gateway.sampled_placement import (
    MAX_NODES_IN_STEP,
    sample_engines,
)

if TYPE_CHECKING:
    from catkinreach_core.gateway.placement import Candidate, StreamPlan
    from catkinreach_core.ids import SoftwareVersion, UpstreamId

    from .stream_context import StreamContext
    from .stream_prefill import StreamPrefill


class StreamPlanner:
    """Plans a stream on the engines that its request may still use."""

    def __init__(self, context: StreamContext, prefill: StreamPrefill) -> None:
        """Prepares the planner of one stream."""
        self._node = context.node
        self._admitted = context.admitted
        self._attempts = context.attempts
        self._need = context.need
        self._traits = context.traits
        self._pin = context.pin
        self._prefill = prefill

    def best_plan(
        self, spared: frozenset[SoftwareVersion] = frozenset()
    ) -> StreamPlan | None:
        """Returns the best plan, ``None`` if no engine has free memory.

        Args:
            spared: Versions whose engines are left to streams that must go on
                at these.
        """
        candidates = [
            candidate
            for candidate in self._candidates()
            if not candidate.can_decode
            or candidate.software_version not in spared
        ]
        if self._prefill.is_exhausted:
            candidates = [
                candidate for candidate in candidates if candidate.can_decode
            ]
        need = self._need
        if self._prefill.handle is not None:
            need = replace(need, prompt_tokens=0)
        if self._node.members.count > MAX_NODES_IN_STEP:
            candidates = sample_engines(
                candidates, need, self._traits, self._node.rng
            )
        return plan_stream(candidates, need, self._traits)

    def has_room_elsewhere(self, silent_id: UpstreamId) -> bool:
        """Returns whether a decode engine other than a silent one has memory.

        The memory is that of a stream without a prefilled prompt.
        """
        others = [
            candidate
            for candidate in self._candidates()
            if candidate.known.upstream.upstream_id != silent_id
        ]
        return plan_stream(others, self._need, self._traits) is not None

    def free_decode_memory(self) -> list[int]:
        """Returns the free memory of each usable decode engine, in tokens."""
        usable = int(self._traits.memory_tokens * MEMORY_USE)
        return [
            max(0, usable - candidate.load.memory_tokens)
            for candidate in self._candidates()
            if candidate.can_decode
        ]

    def total_decode_memory(self) -> int:
        """Returns the total memory of all usable decode engines, in tokens."""
        decode_engines = sum(
            candidate.can_decode for candidate in self._candidates()
        )
        return decode_engines * self._traits.memory_tokens

    def _candidates(self) -> list[Candidate]:
        service = self._admitted.service
        candidates = self._node.candidates(
            service.service_id, service, self._attempts.excluded
        )
        pinned = self._pin.version
        return [
            candidate
            for candidate in self._attempts.usable(candidates)
            if pinned is None
            or not candidate.can_decode
            or candidate.software_version == pinned
        ]


__all__ = ('StreamPlanner',)
