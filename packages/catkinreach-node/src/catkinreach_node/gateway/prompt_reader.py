"""Has the prompt of one call read by a prefill engine, once.

The first such call that an engine takes counts neither as a send nor against
the budget of repeats; a further one would, and decode engines read prompts
themselves, so there is none.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from catkinreach_core.gateway.load_table import UpstreamLoad

from ..http.client import ConnectError, ExchangeError
from .call import SendFailure
from .exchange import exchange
from .gateway_metrics import Stage

if TYPE_CHECKING:
    from catkinreach_core.gateway.terms import KvHandle
    from catkinreach_core.gateway.upstream import Upstream
    from catkinreach_core.ids import UpstreamId

    from .exchange import Reply
    from .stream_context import StreamContext

SLACK_S = 0.2
SLACK_FACTOR = 3.0
"""A prefill may take its prediction times this, plus the slack."""

MAX_HANDLE_REFUSALS = 2
HANDLE_MARGIN_S = 0.1
"""A handle isn't used this long before it lapses, or half its life."""


class PromptReader:
    """The prefill of one call, and the handle that it brought."""

    def __init__(self, context: StreamContext) -> None:
        """Prepares the call; a stream that is resumed isn't read apart."""
        self._node = context.node
        self._call = context.call
        self._attempts = context.attempts
        self._need = context.need
        self._traits = context.traits
        self._handle: KvHandle | None = None
        self._reader: Upstream | None = None
        self._usable_until_s = 0.0
        self._refusals = 0
        self.is_spent = context.call.terms.resume_after is not None

    @property
    def handle(self) -> KvHandle | None:
        """Returns the handle, while it may be used."""
        if self._node.clock() > self._usable_until_s:
            self.free()
        return self._handle

    async def read(self, upstream: Upstream, predicted_s: float) -> bool:
        """Has the prompt read; tells whether a handle is there."""
        work = UpstreamLoad(running=1, prefill_tokens=self._need.prompt_tokens)
        upstream_id = upstream.upstream_id
        self.is_spent = True
        self._node.begin_work(upstream_id, work)
        self._node.cold.spend(upstream_id)
        wait_s = SLACK_S + predicted_s * SLACK_FACTOR
        try:
            async with asyncio.timeout(min(wait_s, self._attempts.left_s)):
                await self._exchange(upstream)
        except ConnectError as error:
            self.is_spent = False
            self._node.note_unreachable(upstream_id, str(error))
            self._attempts.failed(upstream_id, SendFailure.PREFILL_UNREACHABLE)
        except ExchangeError as error:
            self._fail(
                upstream_id, SendFailure.PREFILL_BROKEN, detail=str(error)
            )
            self._node.checks.check_crash(upstream, self._call.fingerprint)
        except TimeoutError:
            self._fail(upstream_id, SendFailure.PREFILL_SILENT, waited_s=wait_s)
            self._node.checks.check_reachable(upstream)
        finally:
            self._node.end_work(upstream_id, work)
        return self._handle is not None

    def note_taken(self) -> None:
        """Forgets a handle that a decode engine has taken or may have."""
        self._handle = None

    def note_refused(self) -> None:
        """Takes that a decode engine refused the handle or had no memory.

        The reply doesn't tell which: a second engine is offered the handle,
        and if it refuses too, the engine that read the prompt is at fault.
        """
        self._refusals += 1
        if self._refusals < MAX_HANDLE_REFUSALS:
            return
        if self._reader is not None:
            self._node.health.note_failure(
                self._reader.upstream_id, self._node.clock()
            )
        self.free()

    def free(self) -> None:
        """Frees the KV cache, if it was not taken."""
        handle, self._handle = self._handle, None
        if handle is not None:
            self._node.free_handle(handle)

    async def _exchange(self, upstream: Upstream) -> None:
        call = self._call
        sent_s = self._node.clock()
        request = self._node.dialect.prefill_request(
            call.request, call.send_terms(upstream, self._node.clock())
        )
        reply = await exchange(
            self._node, upstream, request, call.terms.request_id
        )
        body = await reply.read_all()
        handle = self._node.dialect.read_handle(upstream.address, body)
        if handle is None or reply.marks.has_not_run:
            self._refuse(reply)
            return
        now_s = self._node.clock()
        self._node.health.note_success(upstream.upstream_id, now_s)
        self._node.metrics.record(Stage.PREFILL, now_s - sent_s)
        self._handle = handle
        self._reader = upstream
        life_s = self._traits.handle_ttl_s
        margin_s = min(HANDLE_MARGIN_S, life_s / 2)
        self._usable_until_s = now_s + life_s - margin_s

    def _refuse(self, reply: Reply) -> None:
        if reply.marks.is_misdirected:
            self.is_spent = False
        elif reply.marks.has_not_run:
            self._attempts.note_sent()
        self._node.note_refused(reply)
        self._attempts.failed(
            reply.upstream.upstream_id,
            SendFailure.PREFILL_REFUSED,
            status=reply.status,
        )

    def _fail(
        self, upstream_id: UpstreamId, failure: SendFailure, **inputs: object
    ) -> None:
        self._node.health.note_failure(upstream_id, self._node.clock())
        self._attempts.failed(upstream_id, failure, **inputs)


__all__ = ('PromptReader',)
