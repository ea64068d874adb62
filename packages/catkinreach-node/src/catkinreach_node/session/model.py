"""Stage that runs a model request, with retries on other engines."""

from __future__ import annotations

import asyncio
import time
from contextlib import AsyncExitStack, aclosing
from typing import TYPE_CHECKING

from loguru import logger

from catkinreach_core.cell.blocks import prefix_blocks
from catkinreach_core.cell.retry_budget import RetryBudget
from catkinreach_core.errors import CatkinreachError, ErrorKind, Outcome
from catkinreach_core.placement.policy import WorkItem
from catkinreach_core.tokens import WordTokenizer, prompt_digest

from ..telemetry.hops import Hop
from .attempt import Attempt, AttemptError
from .completion import AnswerFormat, parse_completion
from .model_responses import streamed_response, whole_response
from .progress import AnswerProgress
from .reachable import reserve_reachable
from .takeover import Takeover

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator
    from contextlib import AbstractAsyncContextManager

    from catkinreach_core.ids import UpstreamId

    from ..http.messages import HttpResponse
    from ..telemetry.hop_recorder import HopRecorder
    from .completion import Completion
    from .context import SessionContext
    from .engine_client import EngineClient
    from .interfaces import Limiter, LimitGrant, Reservation, Scheduler

MAX_ATTEMPTS = 6
RETRY_BUDGET_TIMEOUT_S = 5.0
RETRY_BUDGET_CHECK_INTERVAL_S = 0.05


class ModelStage:
    """Serves completion requests on the engines.

    A request is first admitted against the limits of its workspace.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        limiter: Limiter,
        engines: EngineClient,
        hops: HopRecorder,
    ) -> None:
        """Takes the scheduler, the limiter and the client for the engines."""
        self._hops = hops
        self._scheduler = scheduler
        self._limiter = limiter
        self._engines = engines
        self._tokenizer = WordTokenizer()
        self._budget = RetryBudget()

    async def serve(self, session: SessionContext) -> HttpResponse:
        """Serves a completion request, streamed or whole."""
        completion = parse_completion(session.request.body, self._tokenizer)
        with self._hops.measure(Hop.LIMIT, session.trace):
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
            self._budget,
        )
        if completion.is_streamed:
            return await streamed_response(run)
        return await whole_response(run)


class ModelRun:
    """One completion, resumed on other engines when an attempt fails."""

    def __init__(
        self,
        session: SessionContext,
        completion: Completion,
        grant: LimitGrant,
        scheduler: Scheduler,
        engines: EngineClient,
        hops: HopRecorder,
        budget: RetryBudget,
    ) -> None:
        """Starts with no token and no attempt."""
        self._hops = hops
        self._last_batch_at_s = session.accepted_at_s
        self._session = session
        self._completion = completion
        self._grant = grant
        self._scheduler = scheduler
        self._engines = engines
        self._budget = budget
        self._blocks = prefix_blocks(completion.prompt)
        self._digest = prompt_digest(completion.prompt)
        self._excluded: tuple[UpstreamId, ...] = ()
        self._unknown: set[UpstreamId] = set()
        self._takeover = self._new_takeover(0)
        self._holds_return_retry = False
        self.progress = AnswerProgress()
        self.answer_format = AnswerFormat(session.request_id, completion)

    async def tokens(self) -> AsyncGenerator[list[str], None]:
        """Yields the answer's tokens in batches, each token exactly once.

        Raises:
            CatkinreachError: if no attempt completed the answer.
        """
        try:
            self._budget.record_first_attempt()
            for attempt in range(MAX_ATTEMPTS):
                if attempt and not self._takeover.is_due:
                    await self._wait_for_budget()
                async with aclosing(self._run_attempt(attempt)) as batches:
                    async for batch in batches:
                        if batch:
                            self._release_return_retry()
                        self._record_token_latency(len(batch))
                        yield batch
                if self.progress.is_complete:
                    return
            raise CatkinreachError(ErrorKind.UPSTREAM_FAILED)
        finally:
            self._release_return_retry()
            await self._takeover.withdraw()
            self._grant.settle(
                len(self._completion.prompt) + len(self.progress.tokens)
            )

    async def _run_attempt(
        self, attempt_number: int
    ) -> AsyncGenerator[list[str], None]:
        async with AsyncExitStack() as stack:
            with self._hops.measure(Hop.QUEUE, self._session.trace):
                reservation = await self._reserve(stack, attempt_number)
            try:
                attempt = Attempt(
                    self._session,
                    self._completion,
                    reservation,
                    self.progress,
                    self._engines,
                    self._hops,
                    self._takeover,
                )
                async with aclosing(attempt.run()) as batches:
                    async for batch in batches:
                        yield batch
            except AttemptError as error:
                logger.info(
                    'model: request {}: attempt {} failed: {}.',
                    self._session.request_id,
                    attempt_number,
                    error,
                )
                self._exclude(error.failure.upstream_id)
                if not self._takeover.is_due:
                    await self._takeover.withdraw()

    async def _reserve(
        self, stack: AsyncExitStack, attempt_number: int
    ) -> Reservation:
        """Waits for a reservation on a prefill and a decode engine.

        After the first attempt the request may have run, so a refusal no
        longer carries the outcome ``not-run``.
        """
        takeover = self._takeover
        self._takeover = self._new_takeover(attempt_number + 1)
        if takeover.is_due:
            self._release_return_retry()
            self._holds_return_retry = True
            return await takeover.hand_over(stack)
        pending_reservation = self._scheduler.reserve(
            self._session,
            self._work_item(attempt_number, (*self._excluded, *self._unknown)),
            is_resume=attempt_number > 0,
        )
        try:
            return await stack.enter_async_context(pending_reservation)
        except CatkinreachError as error:
            if not attempt_number:
                raise
            kind = error.kind
            if kind is not ErrorKind.REQUEST_QUARANTINED:
                kind = ErrorKind.UPSTREAM_FAILED
            raise CatkinreachError(
                kind, error.detail, outcome=Outcome.UNKNOWN
            ) from error

    def _exclude(self, failed: UpstreamId) -> None:
        """Excludes an engine from the next attempt; an unknown one from all."""
        self._excluded = (failed,)
        if failed not in self._session.settings.upstreams:
            self._unknown.add(failed)

    def _new_takeover(self, attempt_number: int) -> Takeover:
        def reserve(
            silent: UpstreamId,
        ) -> AbstractAsyncContextManager[Reservation]:
            excluded = (silent, *self._unknown)
            work = self._work_item(attempt_number, excluded)
            return reserve_reachable(
                self._scheduler.reserve(self._session, work, is_resume=True),
                self._session.settings,
                self._engines,
                self._unknown.add,
            )

        return Takeover(
            reserve,
            self._budget,
            is_possible=lambda silent: (
                attempt_number < MAX_ATTEMPTS and self._has_other_engine(silent)
            ),
        )

    def _has_other_engine(self, silent: UpstreamId) -> bool:
        settings = self._session.settings
        return any(
            upstream.upstream_id != silent and settings.is_in_service(upstream)
            for upstream in settings.upstreams_of(
                self._session.service.decode_pool
            )
        )

    def _work_item(
        self, attempt_number: int, excluded: tuple[UpstreamId, ...]
    ) -> WorkItem:
        prompt = self._completion.prompt
        return WorkItem(
            request_id=self._session.request_id,
            workspace_id=self._session.workspace_id,
            prompt_tokens=len(prompt),
            max_tokens=self._completion.max_tokens - len(self.progress.tokens),
            blocks=self._blocks,
            digest=self._digest,
            attempt=attempt_number,
            excluded=excluded,
        )

    def _release_return_retry(self) -> None:
        """Gives back the retry that is held since a takeover, if any is."""
        if self._holds_return_retry:
            self._holds_return_retry = False
            self._budget.give_back()

    async def _wait_for_budget(self) -> None:
        """Waits until the retry budget of the node allows another attempt.

        An accepted request is delayed rather than failed. A retry that is held
        since a takeover is used first.

        Raises:
            CatkinreachError: ``UPSTREAM_FAILED`` after
                ``RETRY_BUDGET_TIMEOUT_S``.
        """
        if self._holds_return_retry:
            self._holds_return_retry = False
            return
        deadline_s = time.monotonic() + RETRY_BUDGET_TIMEOUT_S
        while not self._budget.try_spend():
            if time.monotonic() > deadline_s:
                raise CatkinreachError(ErrorKind.UPSTREAM_FAILED)
            await asyncio.sleep(RETRY_BUDGET_CHECK_INTERVAL_S)

    def _record_token_latency(self, token_count: int) -> None:
        if not token_count:
            return
        now_s = time.monotonic()
        waited_s = now_s - self._last_batch_at_s
        self._last_batch_at_s = now_s
        metrics = self._hops.metrics
        if token_count == len(self.progress.tokens):
            metrics.first_token.record(waited_s)
        else:
            metrics.between_tokens.record(waited_s / token_count)


__all__ = ('ModelRun', 'ModelStage')
