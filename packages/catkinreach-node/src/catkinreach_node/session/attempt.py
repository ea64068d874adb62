"""One attempt of a model request on the engines that are reserved for it."""

from __future__ import annotations

import asyncio
import time
from contextlib import aclosing
from typing import TYPE_CHECKING

from loguru import logger

from catkinreach_core.cell.reservations import (
    AttemptResult,
    Failure,
    FailureKind,
)

from ..telemetry.hop import Hop
from .engine_client import EngineError
from .stall import StallGuard

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, AsyncIterator

    from catkinreach_core.settings.fleet import Upstream

    from ..telemetry.hop_recorder import HopRecorder
    from .completion import Completion
    from .context import SessionContext
    from .engine_client import DecodeEvent, EngineClient
    from .interfaces import Reservation
    from .progress import AnswerProgress

TOKEN_STALL_S = 1.5
"""Silence of a decode after which the answer goes on elsewhere."""

CANCEL_TRIES = 3
CANCEL_PAUSE_S = 0.3
RESUME_PRIORITY = -1


class AttemptError(Exception):
    """An attempt that did not bring the whole answer."""

    def __init__(self, failure: Failure, reason: str) -> None:
        """Keeps which upstream failed and how."""
        self.failure = failure
        super().__init__(reason)


class Attempt:
    """Prefill, transfer and decode; frees what an early end leaves behind."""

    def __init__(
        self,
        session: SessionContext,
        completion: Completion,
        reservation: Reservation,
        progress: AnswerProgress,
        engines: EngineClient,
        hops: HopRecorder,
    ) -> None:
        """Starts on the reserved engines."""
        upstreams = session.settings.upstreams
        self._session = session
        self._completion = completion
        self._reservation = reservation
        self._progress = progress
        self._engines = engines
        self._hops = hops
        self._prefill = upstreams[reservation.placement.prefill]
        self._decode = upstreams[reservation.placement.decode]
        self._had = len(progress.tokens)
        self._first_at_s = 0.0
        self._at = self._prefill

    async def run(self) -> AsyncGenerator[list[str], None]:
        """Yields the tokens that are new to the caller.

        Raises:
            AttemptError: if the answer broke off.
        """
        failure: Failure | None = None
        try:
            async with aclosing(self._steps()) as batches:
                async for batch in batches:
                    yield batch
            if not self._progress.is_complete:
                raise EngineError(
                    0, 'stream ended early', FailureKind.DISCONNECTED
                )
        except EngineError as error:
            failure = Failure(self._at.upstream_id, error.kind)
            raise AttemptError(failure, str(error)) from error
        finally:
            self._reservation.report_end(self._ending(failure))
            if not self._progress.is_complete:
                self._abandon()

    async def _steps(self) -> AsyncGenerator[list[str], None]:
        import_id = await self._prepare()
        with self._hops.measure(Hop.DECODE, self._session.trace) as scope:
            scope.set_attribute('upstream', self._decode.upstream_id)
            async with (
                self._engines.decode(
                    self._decode,
                    self._reservation.engine_request_id,
                    self._completion.model,
                    import_id,
                    max_tokens=self._completion.max_tokens,
                    skip=self._had,
                    priority=self._priority,
                    trace=scope.traceparent,
                ) as batches,
                aclosing(_watched(batches)) as watched,
            ):
                async for events in watched:
                    yield self._take(events)

    async def _prepare(self) -> str:
        request_id = self._reservation.engine_request_id
        with self._hops.measure(Hop.PREFILL, self._session.trace) as scope:
            scope.set_attribute('upstream', self._prefill.upstream_id)
            prefilled = await self._engines.prefill(
                self._prefill,
                request_id,
                self._completion.model,
                self._completion.prompt,
                priority=self._priority,
                trace=scope.traceparent,
            )
        if prefilled.prompt_tokens != len(self._completion.prompt):
            raise EngineError(0, 'answer to another request')
        self._reservation.report_prefill(prefilled.cached_tokens)
        self._at = self._decode
        with self._hops.measure(Hop.TRANSFER, self._session.trace) as scope:
            scope.set_attribute('upstream', self._decode.upstream_id)
            imported = await self._engines.import_kv(
                self._decode,
                request_id,
                self._prefill,
                prefilled.export_id,
                kv_pieces=prefilled.kv_pieces,
                trace=scope.traceparent,
            )
        return imported.import_id

    @property
    def _priority(self) -> int:
        return RESUME_PRIORITY if self._had else 0

    def _take(self, events: list[DecodeEvent]) -> list[str]:
        batch = [
            token
            for token in map(self._progress.take, events)
            if token is not None
        ]
        if batch and not self._first_at_s:
            self._first_at_s = time.monotonic()
            self._reservation.report_first_token()
        return batch

    def _ending(self, failure: Failure | None) -> AttemptResult:
        tokens = len(self._progress.tokens) - self._had
        token_s = 0.0
        if tokens > 1:
            token_s = (time.monotonic() - self._first_at_s) / (tokens - 1)
        return AttemptResult(
            is_complete=self._progress.is_complete,
            tokens=tokens,
            token_s=token_s,
            failure=failure,
        )

    def _abandon(self) -> None:
        """Cancels in the background; the sweep takes what can't be reached."""
        for upstream in (self._prefill, self._decode):
            task = asyncio.create_task(self._cancel(upstream))
            _cancelling.add(task)
            task.add_done_callback(_cancelling.discard)

    async def _cancel(self, upstream: Upstream) -> None:
        for _ in range(CANCEL_TRIES):
            try:
                await self._engines.cancel(
                    upstream, self._reservation.engine_request_id
                )
            except EngineError as error:
                logger.debug('model: cancel failed: {}.', error)
                await asyncio.sleep(CANCEL_PAUSE_S)
            else:
                return


_cancelling: set[asyncio.Task[None]] = set()


async def _watched(
    batches: AsyncIterator[list[DecodeEvent]],
) -> AsyncGenerator[list[DecodeEvent], None]:
    """Yields the batches; a decode that stops in between is an error."""
    guard = StallGuard(TOKEN_STALL_S)
    try:
        while True:
            with guard.wait():
                batch = await anext(batches, None)
            if batch is None:
                return
            yield batch
    except TimeoutError as error:
        raise EngineError(
            0, f'no token in {TOKEN_STALL_S} s', FailureKind.STALLED
        ) from error
    finally:
        guard.close()


__all__ = ('Attempt', 'AttemptError')
