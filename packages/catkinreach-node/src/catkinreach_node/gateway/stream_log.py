"""Log lines on where a stream is sent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .decision_log import Event

if TYPE_CHECKING:
    from catkinreach_core.gateway.placement import StreamPlan
    from catkinreach_core.gateway.upstream import Upstream

    from .stream_context import StreamContext


class StreamLog:
    """Writes the lines of one stream."""

    def __init__(self, context: StreamContext) -> None:
        """Takes the stream."""
        self._node = context.node
        self._admitted = context.admitted
        self._need = context.need

    def write_kept(self, upstream: Upstream) -> None:
        """Writes that a silent engine replied before another one did."""
        self._node.log.write(
            Event.SILENT_KEPT,
            request=self._admitted.metadata.request_id,
            upstream=upstream.upstream_id,
            reason='it replied first',
            after_event=None,
        )

    def write_placed(
        self, plan: StreamPlan, resume_after: int | None, waited_s: float
    ) -> None:
        """Writes where a stream is sent.

        Args:
            plan: Engines of the stream.
            resume_after: Event after which it goes on, if any.
            waited_s: Time in the queue.
        """
        node = self._node
        admitted = self._admitted
        prefill = plan.prefill
        node.log.write(
            Event.PLACED,
            request=admitted.metadata.request_id,
            workspace=admitted.workspace_id,
            version=admitted.version,
            decode=plan.decode.upstream.upstream_id,
            prefill=prefill and prefill.upstream.upstream_id,
            prompt_tokens=self._need.prompt_tokens,
            output_tokens=admitted.metadata.output_tokens,
            first_token_s=round(plan.first_token_s, 4),
            elapsed_s=round(node.clock() - admitted.arrived_s, 4),
            waited_s=round(waited_s, 4),
            members=node.members.count,
            silent=node.members.silent_count(node.clock()),
            resume_after=resume_after,
            resumes=admitted.metadata.resumes or None,
            software_version=plan.decode.upstream.software_version,
        )


__all__ = ('StreamLog',)
