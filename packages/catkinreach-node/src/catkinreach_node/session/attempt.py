"""One attempt of a model request on its reserved engines."""

from __future__ import annotations

import asyncio
import time
from contextlib import AsyncExitStack, aclosing
from typing import TYPE_CHECKING

from loguru import logger

from catkinreach_core.cell.reservations import (
    AttemptResult,
    Failure,
    FailureKind,
)

from ..telemetry.hops import Hop
from .engine_answers import EngineError
from .engine_client import import_timeout_s
from .stall import StallGuard
from .takeover import MAX_SILENCE_S

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from catkinreach_core.ids import UpstreamId
    from catkinreach_core.settings.fleet import Upstream

    from ..telemetry.hop_recorder import HopRecorder
    from .completion import Completion
    from .context import SessionContext
    from .engine_answers import DecodeEvent, PrefillAnswer
    from .engine_client import EngineClient
    from .interfaces import Reservation
    from .progress import AnswerProgress
    from .takeover import Takeover

TOKEN_STALL_S = 1.5
"""Time without a token after which other engines are sought.

The request is resumed there once they are reserved and accept connections.
"""

MAX_CANCEL_ATTEMPTS = 3
CANCEL_RETRY_DELAY_S = 0.3
RESUME_PRIORITY = -1
"""Engines run lower values first: a resumed answer precedes new requests."""


class AttemptError(Exception):
    """An attempt that ended before the answer was complete."""

    def __init__(self, failure: Failure, reason: str) -> None:
        """Takes the failed upstream with the failure kind, and a log text."""
        self.failure = failure
        super().__init__(reason)


class Attempt:
    """Runs prefill, KV transfer and decode of one attempt.

    When the attempt ends early, the request is cancelled on both engines, so
    that they free its memory.
    """

    def __init__(
        self,
        session: SessionContext,
        completion: Completion,
        reservation: Reservation,
        progress: AnswerProgress,
        engines: EngineClient,
        hops: HopRecorder,
        takeover: Takeover,
    ) -> None:
        """Takes the reserved engines and the progress of earlier attempts.

        Args:
            session: The caller's request.
            completion: Its validated body.
            reservation: The engines reserved for the attempt.
            progress: Tokens of earlier attempts.
            engines: Client for the engines.
            hops: Measures the phases.
            takeover: Seeks other engines while the decode engine is silent.

        Raises:
            AttemptError: if an engine is in newer settings than the request's.
        """
        self._session = session
        self._completion = completion
        self._reservation = reservation
        self._progress = progress
        self._engines = engines
        self._hops = hops
        self._takeover = takeover
        self._prefill_upstream = _upstream(
            session, reservation.placement.prefill
        )
        self._decode_upstream = _upstream(session, reservation.placement.decode)
        self._first_new_index = len(progress.tokens)
        self._first_token_at_s = 0.0
        self._current_upstream = self._prefill_upstream

    async def run(self) -> AsyncGenerator[list[str], None]:
        """Yields batches of tokens that the caller has not received yet.

        Raises:
            AttemptError: if the attempt failed before the answer was complete.
        """
        failure: Failure | None = None
        try:
            async with aclosing(self._run_phases()) as batches:
                async for batch in batches:
                    yield batch
            if not self._progress.is_complete:
                raise EngineError(
                    0,
                    'decode stream ended before its final event',
                    FailureKind.DISCONNECTED,
                )
        except EngineError as error:
            failure = Failure(self._current_upstream.upstream_id, error.kind)
            raise AttemptError(failure, str(error)) from error
        finally:
            self._reservation.report_end(self._build_result(failure))
            if not self._progress.is_complete:
                self._cancel_in_background()

    async def _run_phases(self) -> AsyncGenerator[list[str], None]:
        import_id = await self._prefill_and_transfer()
        with self._hops.measure(Hop.DECODE, self._session.trace) as scope:
            scope.set_attribute('upstream', self._decode_upstream.upstream_id)
            async with aclosing(
                self._decode(import_id, scope.traceparent)
            ) as batches:
                async for events in batches:
                    batch, error = self._collect_tokens(events)
                    yield batch
                    if error is not None:
                        raise error

    async def _decode(
        self, import_id: str, trace: str
    ) -> AsyncGenerator[list[DecodeEvent], None]:
        """Starts the decode and yields its events in batches.

        Raises:
            EngineError: the engine refuses, or neither answers nor sends a
                token in time, and other engines can go on.
        """
        guard = StallGuard(TOKEN_STALL_S, self._may_give_up)
        decode = self._engines.decode(
            self._decode_upstream,
            self._reservation.engine_request_id,
            self._completion.model,
            import_id,
            max_tokens=self._completion.max_tokens,
            skip=self._first_new_index,
            priority=self._priority,
            trace=trace,
        )
        try:
            async with AsyncExitStack() as stack:
                with guard.wait():
                    batches = await stack.enter_async_context(decode)
                while True:
                    with guard.wait():
                        batch = await anext(batches, None)
                    if batch is None:
                        return
                    await self._keep_engine()
                    yield batch
        except TimeoutError as error:
            raise EngineError(
                0, 'decode produced no token in time', FailureKind.STALLED
            ) from error
        finally:
            guard.close()

    def _may_give_up(self, silence_s: float) -> bool:
        if self._progress.is_complete:
            return True
        silent = self._decode_upstream.upstream_id
        return self._takeover.may_give_up(silent, silence_s)

    async def _keep_engine(self) -> None:
        """Withdraws the search for others when the engine goes on."""
        if self._takeover.has_started:
            await self._takeover.withdraw()
            self._reservation.report_kept()

    async def _prefill_and_transfer(self) -> str:
        request_id = self._reservation.engine_request_id
        with self._hops.measure(Hop.PREFILL, self._session.trace) as scope:
            scope.set_attribute('upstream', self._prefill_upstream.upstream_id)
            prefilled = await self._engines.prefill(
                self._prefill_upstream,
                request_id,
                self._completion.model,
                self._completion.prompt,
                priority=self._priority,
                trace=scope.traceparent,
            )
        if prefilled.prompt_tokens != len(self._completion.prompt):
            raise EngineError(
                0, 'prefill response has another prompt length than the request'
            )
        self._reservation.report_prefill(prefilled.cached_tokens)
        self._current_upstream = self._decode_upstream
        with self._hops.measure(Hop.TRANSFER, self._session.trace) as scope:
            scope.set_attribute('upstream', self._decode_upstream.upstream_id)
            return await self._import(prefilled, scope.traceparent)

    async def _import(self, prefilled: PrefillAnswer, trace: str) -> str:
        """Returns the import, once the decode engine has it.

        Raises:
            EngineError: if it fails, or is late and other engines can go on.
        """
        late_s = import_timeout_s(prefilled.kv_pieces)
        guard = StallGuard(late_s, self._may_give_up)
        try:
            with guard.wait():
                imported = await self._engines.import_kv(
                    self._decode_upstream,
                    self._reservation.engine_request_id,
                    self._prefill_upstream,
                    prefilled.export_id,
                    timeout_s=late_s + MAX_SILENCE_S,
                    trace=trace,
                )
        except TimeoutError as error:
            raise EngineError(
                0, 'import did not end in time', FailureKind.STALLED
            ) from error
        finally:
            guard.close()
        await self._keep_engine()
        return imported.import_id

    @property
    def _priority(self) -> int:
        return RESUME_PRIORITY if self._first_new_index else 0

    def _collect_tokens(
        self, events: list[DecodeEvent]
    ) -> tuple[list[str], EngineError | None]:
        """Returns the new tokens up to an event that is an error, if any is."""
        batch: list[str] = []
        error: EngineError | None = None
        try:
            for event in events:
                batch += self._progress.add_event(event)
        except EngineError as caught:
            error = caught
        if batch and not self._first_token_at_s:
            self._first_token_at_s = time.monotonic()
            self._reservation.report_first_token()
        return batch, error

    def _build_result(self, failure: Failure | None) -> AttemptResult:
        tokens = len(self._progress.tokens) - self._first_new_index
        token_s = 0.0
        if tokens > 1:
            token_s = (time.monotonic() - self._first_token_at_s) / (tokens - 1)
        return AttemptResult(
            is_complete=self._progress.is_complete,
            tokens=tokens,
            token_s=token_s,
            failure=failure,
        )

    def _cancel_in_background(self) -> None:
        """Cancels the request on both engines in the background.

        The orphan sweeper later frees memory on an engine that is unreachable
        now.
        """
        for upstream in (self._prefill_upstream, self._decode_upstream):
            task = asyncio.create_task(self._cancel(upstream))
            _cancel_tasks.add(task)
            task.add_done_callback(_cancel_tasks.discard)

    async def _cancel(self, upstream: Upstream) -> None:
        for _ in range(MAX_CANCEL_ATTEMPTS):
            try:
                await self._engines.cancel(
                    upstream, self._reservation.engine_request_id
                )
            except EngineError as error:
                logger.debug(
                    'model: cannot cancel request on engine: {}.', error
                )
                await asyncio.sleep(CANCEL_RETRY_DELAY_S)
            else:
                return


def _upstream(session: SessionContext, upstream_id: UpstreamId) -> Upstream:
    upstream = session.settings.upstreams.get(upstream_id)
    if upstream is None:
        raise AttemptError(
            Failure(upstream_id, FailureKind.REFUSED),
            f'engine {upstream_id} is unknown to the request',
        )
    return upstream


_cancel_tasks: set[asyncio.Task[None]] = set()
"""Strong references to running tasks; the event loop keeps only weak ones."""


__all__ = ('Attempt', 'AttemptError')
