"""HTTP responses with the tokens of a model request."""

from __future__ import annotations

from contextlib import aclosing
from typing import TYPE_CHECKING

from catkinreach_core.errors import CatkinreachError

from ..http.messages import EVENT_STREAM_TYPE, HttpResponse
from ..http.problem import problem_document

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from .model import ModelRun


async def whole_response(run: ModelRun) -> HttpResponse:
    """Returns the whole answer once it is complete.

    Raises:
        CatkinreachError: if no attempt completed the answer.
    """
    async with aclosing(run.tokens()) as batches:
        async for _ in batches:
            pass
    return HttpResponse.from_json(
        200,
        run.answer_format.whole_document(
            run.progress.tokens, run.progress.finish_reason
        ),
    )


async def streamed_response(run: ModelRun) -> HttpResponse:
    """Waits for the first token before the response starts.

    An error before it then still has its own HTTP status.
    """
    batches = run.tokens()
    first_batch = await anext(batches)
    return HttpResponse(
        status=200,
        headers=[
            ('content-type', EVENT_STREAM_TYPE),
            ('cache-control', 'no-store'),
        ],
        stream=_encode_events(run, first_batch, batches),
    )


async def _encode_events(
    run: ModelRun,
    first_batch: list[str],
    batches: AsyncGenerator[list[str], None],
) -> AsyncGenerator[bytes, None]:
    answer_format = run.answer_format
    try:
        yield b''.join(map(answer_format.token_event, first_batch))
        async for batch in batches:
            yield b''.join(map(answer_format.token_event, batch))
        yield answer_format.end_events(run.progress.finish_reason)
    except CatkinreachError as error:
        yield answer_format.error_event(problem_document(error))
    finally:
        await batches.aclose()


__all__ = ('streamed_response', 'whole_response')
