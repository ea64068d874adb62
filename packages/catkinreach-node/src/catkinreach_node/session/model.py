"""Stage: a model request from its reservation to its last token."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from catkinreach_core.errors import CatkinreachError, ErrorKind
from catkinreach_core.placement.policy import WorkItem
from catkinreach_core.tokens import WordTokenizer

from ..http.messages import EVENT_STREAM_TYPE, HttpResponse
from ..http.problem import problem_document
from .completion import AnswerFormat, parse_completion
from .engine_client import EngineError

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from catkinreach_core.settings.fleet import Upstream

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
        self, scheduler: Scheduler, limiter: Limiter, engines: EngineClient
    ) -> None:
        """Keeps the parts that decide and the client of the engines."""
        self._scheduler = scheduler
        self._limiter = limiter
        self._engines = engines
        self._tokenizer = WordTokenizer()

    async def serve(self, session: SessionContext) -> HttpResponse:
        """Answers a completion request."""
        completion = parse_completion(session.request.body, self._tokenizer)
        grant = await self._limiter.admit(
            session, len(completion.prompt) + completion.max_tokens
        )
        run = ModelRun(
            session, completion, grant, self._scheduler, self._engines
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
    ) -> None:
        """Starts without a token."""
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
        async with self._scheduler.reserve(
            self._session, work, is_resume=is_resume
        ) as reservation:
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
        async with self._engines.decode(
            decode,
            self._session.request_id,
            self._completion.model,
            import_id,
            max_tokens=self._completion.max_tokens,
            skip=len(self.progress.tokens),
        ) as batches:
            async for events in batches:
                taken = [self.progress.take(event) for event in events]
                yield [token for token in taken if token is not None]

    async def _prepare(self, prefill: Upstream, decode: Upstream) -> str:
        request_id = self._session.request_id
        prefilled = await self._engines.prefill(
            prefill,
            request_id,
            self._completion.model,
            self._completion.prompt,
        )
        imported = await self._engines.import_kv(
            decode, request_id, prefill, prefilled.export_id
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
