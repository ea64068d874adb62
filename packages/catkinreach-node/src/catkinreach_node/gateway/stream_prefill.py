"""Prefills the prompt of one stream on a prefill engine, at most once.

The first prefill that an engine accepts counts neither as a send nor towards
the retry budget. A second one would count; it isn't sent, since decode engines
can prefill the prompt themselves.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from catkinreach_core.gateway.load_table import UpstreamLoad

from ..http.connection import (
    ClosedToRequestsError,
    ConnectError,
    ExchangeError,
)
from .gateway_metrics import RequestStage
from .send_failure import SendFailure

if TYPE_CHECKING:
    from catkinreach_core.gateway.metadata import KvHandle
    from catkinreach_core.gateway.upstream import Upstream
    from catkinreach_core.ids import UpstreamId

    from .exchange import Reply
    from .stream_context import StreamContext

PREFILL_SLACK_S = 0.2
PREFILL_SLACK_FACTOR = 3.0
"""Factor on the predicted time; with the slack added, it is the timeout of a
prefill."""

MAX_HANDLE_BYTES = 4096
"""Longest reply to a prefill, which only names a handle."""

MAX_HANDLE_REFUSALS = 2
"""Refusals by decode engines after which a handle is released."""

HANDLE_MARGIN_S = 0.1
"""Time before its expiry in which a handle isn't used; at most half its
lifetime."""


class StreamPrefill:
    """Prefills one stream's prompt and owns the resulting KV handle.

    Attributes:
        is_exhausted: Whether no prefill may be sent to a prefill engine any
            more.
    """

    def __init__(self, context: StreamContext) -> None:
        """Prepares the prefill; a stream that its caller resumes uses none."""
        self._node = context.node
        self._admitted = context.admitted
        self._attempts = context.attempts
        self._need = context.need
        self._traits = context.traits
        self._handle: KvHandle | None = None
        self._prefill_engine: Upstream | None = None
        self._usable_until_s = 0.0
        self._handle_refusals = 0
        self.is_exhausted = context.admitted.metadata.resume_after is not None

    @property
    def handle(self) -> KvHandle | None:
        """Returns the handle, unless it is about to expire."""
        if self._node.clock() > self._usable_until_s:
            self.release()
        return self._handle

    async def run(self, upstream: Upstream, predicted_s: float) -> bool:
        """Runs the prefill; returns whether it yielded a handle."""
        work = UpstreamLoad(running=1, prefill_tokens=self._need.prompt_tokens)
        upstream_id = upstream.upstream_id
        self.is_exhausted = True
        self._node.begin_work(upstream_id, work)
        self._node.cold_rate_limiter.spend(upstream_id)
        self._node.limits.spend(upstream_id)
        wait_s = PREFILL_SLACK_S + predicted_s * PREFILL_SLACK_FACTOR
        has_disconnected = False
        try:
            async with asyncio.timeout(min(wait_s, self._attempts.remaining_s)):
                await self._exchange(upstream)
        except ConnectError as error:
            self.is_exhausted = False
            if not isinstance(error, ClosedToRequestsError):
                self._node.mark_unreachable(upstream_id, str(error))
            self._attempts.record_failed_send(
                upstream_id, SendFailure.PREFILL_UNREACHABLE
            )
        except ExchangeError as error:
            self._record_failure(
                upstream_id, SendFailure.PREFILL_BROKEN, detail=str(error)
            )
            has_disconnected = True
        except TimeoutError:
            self._record_failure(
                upstream_id, SendFailure.PREFILL_SILENT, waited_s=wait_s
            )
            self._node.checks.check_reachable(upstream)
        finally:
            self._node.end_work(upstream_id, work)
        if has_disconnected:
            self._attempts.start_crash_check(upstream)
            await self._attempts.finish_crash_check()
        return self._handle is not None

    def forget_handle(self) -> None:
        """Forgets a handle that a decode engine may have imported."""
        self._handle = None

    def record_handle_refusal(self) -> None:
        """Records that a decode engine refused the request with the handle.

        The reply doesn't state whether the handle or a lack of memory was the
        cause. A second engine gets the handle; if it refuses too, the prefill
        engine counts as failed.
        """
        self._handle_refusals += 1
        if self._handle_refusals < MAX_HANDLE_REFUSALS:
            return
        if self._prefill_engine is not None:
            self._node.health.record_failure(
                self._prefill_engine.upstream_id, self._node.clock()
            )
        self.release()

    def release(self) -> None:
        """Frees the KV cache, if it wasn't imported."""
        handle, self._handle = self._handle, None
        if handle is not None:
            self._node.release_handle(handle)

    async def _exchange(self, upstream: Upstream) -> None:
        admitted = self._admitted
        sent_s = self._node.clock()
        request = self._node.dialect.prefill_request(
            admitted.request,
            admitted.forward_metadata(upstream, self._node.clock()),
        )
        reply = await self._node.paths.exchange(
            upstream, request, admitted.metadata.request_id
        )
        if reply.metadata.has_not_run:
            await reply.skip_refusal()
            self._record_refusal(reply)
            return
        body = await reply.read_all(MAX_HANDLE_BYTES)
        handle = self._node.dialect.read_handle(upstream.address, body)
        if handle is None:
            self._record_refusal(reply)
            return
        now_s = self._node.clock()
        self._node.health.record_success(upstream.upstream_id, now_s)
        self._node.metrics.record(RequestStage.PREFILL, now_s - sent_s)
        self._handle = handle
        self._prefill_engine = upstream
        lifetime_s = self._traits.handle_ttl_s
        margin_s = min(HANDLE_MARGIN_S, lifetime_s / 2)
        self._usable_until_s = now_s + lifetime_s - margin_s

    def _record_refusal(self, reply: Reply) -> None:
        if reply.metadata.is_misdirected:
            self.is_exhausted = False
        elif reply.metadata.has_not_run:
            self._attempts.count_send()
        self._node.record_refusal(reply)
        self._attempts.record_failed_send(
            reply.upstream.upstream_id,
            SendFailure.PREFILL_REFUSED,
            status=reply.status,
        )

    def _record_failure(
        self, upstream_id: UpstreamId, failure: SendFailure, **inputs: object
    ) -> None:
        self._node.health.record_failure(upstream_id, self._node.clock())
        self._attempts.record_failed_send(upstream_id, failure, **inputs)


__all__ = ('StreamPrefill',)
