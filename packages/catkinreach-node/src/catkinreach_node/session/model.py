"""Stage: a model request from its reservation to its last token."""

from __future__ import annotations

import time
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from catkinreach_core.errors import CatkinreachError, ErrorKind
from catkinreach_core.placement.policy import WorkItem
from catkinreach_core.tokens import WordTokenizer

from ..http.messages import EVENT_STREAM_TYPE, HttpResponse
from ..http.problem import problem_document
from ..telemetry.hop import Hop
from .completion import AnswerFormat, parse_completion
from .engine_client import EngineError

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from catkinreach_core.settings.fleet import Upstream

    from ..telemetry.hop import HopRecorder, TraceScope
    from .completion import Completion
    from .context import SessionContext
    from .engine_client import DecodeEvent, EngineClient
    from .seams import Limiter, LimitGrant, Reservation, Scheduler

MAX_ATTEMPTS = 3


@dataclass(slots=True)
class AnswerProgress:
    """How much of an answer the caller has."""

    tokens: list[str] = field(default_factory=list)
    finish: str = ''

    @property
    def is_complete(self) -> bool:
        """Tells whether the engine has ended the answer."""
        return bool(self.finish)

    def take(self, event: DecodeEvent) -> str | None:
        """Returns the event's token if it is the next one.

        An index that was seen before is dropped, so that an answer which
        comes late or twice adds nothing.

        Raises:
            EngineError: if a token is missing.
        """
        if event.done:
            self.finish = event.finish
            return None
        if event.index < len(self.tokens):
            return None
        if event.index > len(self.tokens):
            raise EngineError(0, f'token {len(self.tokens)} is missing')
        self.tokens.append(event.token)
        return event.token


class ModelStage:
    """Runs completions on the engines."""

    def __init__(
        self,
        scheduler: Scheduler,
        limiter: Limiter,
        engines: EngineClient,
        hops: HopRecorder,
    ) -> None:
        """Keeps the parts that decide and the client of the engines."""
        self._hops = hops
        self._scheduler = scheduler
        self._limiter = limiter
        self._engines = engines
        self._tokenizer = WordTokenizer()

    async def serve(self, session: SessionContext) -> HttpResponse:
        """Answers a completion request."""
        completion = parse_completion(session.request.body, self._tokenizer)
        with self._hops.hop(Hop.LIMIT, session.trace):
            grant = await self._limiter.admit(
                session, len(completion.prompt) + completion.max_tokens
            )
        run = ModelRun(
            session,
            completion,
            grant,
            self._scheduler,
            self._engines,
            self._hops,
        )
        if completion.is_streamed:
            return await _streamed(run)
        return await _whole(run)


class ModelRun:
    """One completion; survives the engines that it runs on."""

    def __init__(
        self,
        session: SessionContext,
        completion: Completion,
        grant: LimitGrant,
        scheduler: Scheduler,
        engines: EngineClient,
        hops: HopRecorder,
    ) -> None:
        """Starts without a token."""
        self._hops = hops
        self._last_batch_s = session.accepted_at_s
        self._session = session
        self._completion = completion
        self._grant = grant
        self._scheduler = scheduler
        self._engines = engines
        self.progress = AnswerProgress()
        self.answer_format = AnswerFormat(session.request_id, completion)

    async def tokens(self) -> AsyncGenerator[list[str], None]:
        """Yields the answer's tokens in batches, each token once.

        Raises:
            CatkinreachError: if no attempt brought the whole answer.
        """
        try:
            for attempt in range(MAX_ATTEMPTS):
                async for batch in self._attempt(is_resume=attempt > 0):
                    yield batch
                if self.progress.is_complete:
                    return
            raise CatkinreachError(ErrorKind.UPSTREAM_FAILED)
        finally:
            self._grant.settle(
                len(self._completion.prompt) + len(self.progress.tokens)
            )

    async def _attempt(
        self, *, is_resume: bool
    ) -> AsyncGenerator[list[str], None]:
        work = WorkItem(
            request_id=self._session.request_id,
            workspace_id=self._session.workspace_id,
            prompt_tokens=len(self._completion.prompt),
            max_tokens=self._completion.max_tokens,
        )
        async with AsyncExitStack() as stack:
            with self._hops.hop(Hop.QUEUE, self._session.trace):
                reservation = await stack.enter_async_context(
                    self._scheduler.reserve(
                        self._session, work, is_resume=is_resume
                    )
                )
            try:
                async for batch in self._run_on(reservation):
                    yield batch
            except EngineError:
                return

    async def _run_on(
        self, reservation: Reservation
    ) -> AsyncGenerator[list[str], None]:
        upstreams = self._session.settings.upstreams
        prefill = upstreams[reservation.placement.prefill]
        decode = upstreams[reservation.placement.decode]
        import_id = await self._prepare(prefill, decode)
        with self._hops.hop(Hop.DECODE, self._session.trace) as scope:
            scope.note('upstream', decode.upstream_id)
            async for batch in self._decode(decode, import_id, scope):
                yield batch

    async def _decode(
        self, decode: Upstream, import_id: str, scope: TraceScope
    ) -> AsyncGenerator[list[str], None]:
        async with self._engines.decode(
            decode,
            self._session.request_id,
            self._completion.model,
            import_id,
            max_tokens=self._completion.max_tokens,
            skip=len(self.progress.tokens),
            trace=scope.traceparent,
        ) as batches:
            async for events in batches:
                batch = [
                    token
                    for token in map(self.progress.take, events)
                    if token is not None
                ]
                self._record_tokens(len(batch))
                yield batch

    def _record_tokens(self, count: int) -> None:
        if not count:
            return
        now_s = time.monotonic()
        waited_s = now_s - self._last_batch_s
        self._last_batch_s = now_s
        metrics = self._hops.metrics
        if count == len(self.progress.tokens):
            metrics.first_token.record(waited_s)
        else:
            metrics.between_tokens.record(waited_s / count)

    async def _prepare(self, prefill: Upstream, decode: Upstream) -> str:
        request_id = self._session.request_id
        with self._hops.hop(Hop.PREFILL, self._session.trace) as scope:
            scope.note('upstream', prefill.upstream_id)
            prefilled = await self._engines.prefill(
                prefill,
                request_id,
                self._completion.model,
                self._completion.prompt,
                trace=scope.traceparent,
            )
        with self._hops.hop(Hop.TRANSFER, self._session.trace) as scope:
            scope.note('upstream', decode.upstream_id)
            imported = await self._engines.import_kv(
                decode,
                request_id,
                prefill,
                prefilled.export_id,
                trace=scope.traceparent,
            )
        return imported.import_id


async def _whole(run: ModelRun) -> HttpResponse:
    async for _ in run.tokens():
        pass
    return HttpResponse.from_json(
        200,
        run.answer_format.whole(run.progress.tokens, run.progress.finish),
    )


async def _streamed(run: ModelRun) -> HttpResponse:
    """Waits for the first token, so that a refusal keeps its status."""
    batches = run.tokens()
    first = await anext(batches)
    return HttpResponse(
        status=200,
        headers=[
            ('content-type', EVENT_STREAM_TYPE),
            ('cache-control', 'no-store'),
        ],
        stream=_events(run, first, batches),
    )


async def _events(
    run: ModelRun,
    first: list[str],
    batches: AsyncGenerator[list[str], None],
) -> AsyncGenerator[bytes, None]:
    answer_format = run.answer_format
    try:
        yield b''.join(map(answer_format.chunk, first))
        async for batch in batches:
            yield b''.join(map(answer_format.chunk, batch))
        yield answer_format.end(run.progress.finish)
    except CatkinreachError as error:
        yield answer_format.failure(problem_document(error))
    finally:
        await batches.aclose()


__all__ = ('ModelRun', 'ModelStage')
