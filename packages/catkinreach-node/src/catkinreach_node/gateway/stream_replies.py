"""Decides what an engine's reply means for a stream."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..http.connection import ExchangeError
from ..http.messages import HttpResponse
from .outcomes import record_answer
from .send_failure import SendFailure

if TYPE_CHECKING:
    from .engine_stream import EngineStream
    from .exchange import Reply
    from .stream_context import StreamContext
    from .stream_prefill import StreamPrefill


class StreamReplies:
    """Accepts replies of engines to one stream.

    Attributes:
        whole_response: Response that an engine gave in place of events.
    """

    def __init__(self, context: StreamContext, prefill: StreamPrefill) -> None:
        """Starts without a reply."""
        self._node = context.node
        self._admitted = context.admitted
        self._attempts = context.attempts
        self._prefill = prefill
        self.whole_response: HttpResponse | None = None

    def accept(
        self,
        engine_stream: EngineStream,
        *,
        has_begun: bool,
        replaces_silent: bool,
    ) -> bool:
        """Returns whether the reply is the answer, or its first events.

        A stream that has begun can't go on with another kind of reply. An
        engine's failure isn't the answer while a silent engine may go on.

        Args:
            engine_stream: Stream that was opened.
            has_begun: Whether the caller has events of another engine.
            replaces_silent: Whether a silent engine still has the request.

        Raises:
            ExchangeError: if the reply lacks the seal of its upstream.
        """
        reply = engine_stream.reply
        if reply.metadata.has_not_run:
            self._record_refusal(reply)
            return False
        self._prefill.forget_handle()
        if not reply.metadata.is_sealed:
            raise ExchangeError('reply without the seal of its upstream')
        if reply.is_event_stream:
            return True
        if has_begun or (replaces_silent and not reply.is_success):
            self._attempts.record_failure_after_send(
                reply.upstream, SendFailure.FAILED, status=reply.status
            )
            return False
        self._accept_whole(engine_stream)
        return True

    def _record_refusal(self, reply: Reply) -> None:
        if not reply.metadata.is_misdirected:
            self._prefill.record_handle_refusal()
        load = self._node.loads.total_load(
            reply.upstream.upstream_id, self._node.clock()
        )
        self._attempts.record_refusal(
            reply, running=load.running, memory_tokens=load.memory_tokens
        )

    def _accept_whole(self, engine_stream: EngineStream) -> None:
        """Accepts a reply that is no stream; it is the answer."""
        reply = engine_stream.reply
        headers = self._node.dialect.caller_headers(reply.headers)
        self.whole_response = HttpResponse(
            reply.status, headers, engine_stream.body
        )
        if reply.is_success:
            self._node.crash_suspects.clear_now(
                self._admitted.suspect_keys, self._node.clock()
            )
            record_answer(
                self._node,
                self._admitted,
                reply.upstream.upstream_id,
                status=reply.status,
            )


__all__ = ('StreamReplies',)
