"""Where one stream could run, by what the node knows now."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from catkinreach_core.gateway.placement import plan_stream

if TYPE_CHECKING:
    from catkinreach_core.gateway.placement import Choice, StreamPlan

    from .prompt_reader import PromptReader
    from .stream_context import StreamContext


class StreamPlanner:
    """Asks for a plan with the engines that this call may still use."""

    def __init__(self, context: StreamContext, reader: PromptReader) -> None:
        """Keeps what a plan depends on."""
        self._node = context.node
        self._call = context.call
        self._attempts = context.attempts
        self._need = context.need
        self._traits = context.traits
        self._reader = reader

    def best_plan(self) -> StreamPlan | None:
        """Returns the best plan, if any engine has room."""
        choices = self._choices()
        if self._reader.is_spent:
            choices = [one for one in choices if one.decodes]
        need = self._need
        if self._reader.handle is not None:
            need = replace(need, prompt_tokens=0)
        return plan_stream(choices, need, self._traits)

    def decode_memory(self) -> int:
        """Returns the memory of all decode engines that could be used."""
        decoders = sum(choice.decodes for choice in self._choices())
        return decoders * self._traits.memory_tokens

    def _choices(self) -> list[Choice]:
        service = self._call.service
        return self._node.choices(
            service.service_id, service, self._attempts.excluded
        )


__all__ = ('StreamPlanner',)
