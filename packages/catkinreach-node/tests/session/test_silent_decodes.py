"""A silent engine keeps its stream until another one can take it."""

from __future__ import annotations

import asyncio
import time
from contextlib import asynccontextmanager
from pathlib import Path
from typing import TYPE_CHECKING

import pytest
from opentelemetry.trace import INVALID_SPAN

from catkinreach_core.cell.retry_budget import RetryBudget
from catkinreach_core.errors import CatkinreachError, ErrorKind
from catkinreach_core.ids import (
    Incarnation,
    RequestId,
    Revision,
    RouteId,
    UpstreamId,
    VmId,
    WorkspaceId,
    attempt_id,
)
from catkinreach_core.placement.policy import Placement, WorkItem
from catkinreach_core.settings import load_fleet
from catkinreach_node.http.client import HttpClient
from catkinreach_node.http.messages import EVENT_STREAM_TYPE, HttpRequest
from catkinreach_node.session import attempt, model, takeover
from catkinreach_node.session.completion import Completion
from catkinreach_node.session.context import SessionContext
from catkinreach_node.session.engine_answers import Holder
from catkinreach_node.session.engine_client import EngineClient
from catkinreach_node.session.interfaces import (
    Reservation,
    UnlimitedGrant,
    UntrackedReservation,
)
from catkinreach_node.session.model import ModelRun
from catkinreach_node.telemetry.hop_recorder import HopRecorder, TraceScope
from catkinreach_standins.fakes.scripted_upstream import (
    Script,
    Step,
    encode_response,
    scripted_upstream,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence

    from catkinreach_core.settings.fleet import FleetSettings
    from catkinreach_core.settings.node import Address

EXAMPLES = Path(__file__).resolve().parents[4] / 'examples'
STALL_S = 0.12
SILENCE_S = 0.6
MAX_SILENCE_S = 1.0
TEST_LIMIT_S = 10.0
PREFILL = UpstreamId('pattern-prefill-1')
SILENT = UpstreamId('pattern-decode-1')
OTHER = UpstreamId('pattern-decode-2')
TOKENS = tuple(f'token {number}' for number in range(4))
HEAD = (
    f'HTTP/1.1 200 OK\r\ncontent-type: {EVENT_STREAM_TYPE}\r\n'
    'transfer-encoding: chunked\r\n\r\n'
).encode()
JSON_ANSWERS = {
    '/v1/prefill': b'{"export_id":"e","prompt_tokens":1,"cached_tokens":0,'
    b'"kv_pieces":1,"expires_in_s":1}',
    '/v1/import': b'{"import_id":"i","kv_pieces":1}',
    '/v1/cancel': b'{"released":1}',
}


def _chunk(text: str) -> bytes:
    event = f'data: {text}\n\n'.encode()
    return f'{len(event):x}\r\n'.encode() + event + b'\r\n'


def _token_chunks(first: int, end: int) -> bytes:
    return b''.join(
        _chunk(f'{{"index":{index},"token":"{TOKENS[index]}"}}')
        for index in range(first, end)
    )


END_CHUNKS = (
    _chunk('{"done":true,"finish":"length","completion_tokens":4}')
    + b'0\r\n\r\n'
)


def _engine_script(*decode_steps: Step) -> Script:
    def script(path: str, _: int) -> Sequence[Step]:
        if path == '/v1/decode':
            return (HEAD, *decode_steps)
        return (encode_response(JSON_ANSWERS[path]),)

    return script


SILENT_AT_FIRST = (SILENCE_S, _token_chunks(0, 4), END_CHUNKS)
SILENT_MIDWAY = (
    _token_chunks(0, 2),
    SILENCE_S,
    _token_chunks(2, 4),
    END_CHUNKS,
)
STALLED = (_token_chunks(0, 2), TEST_LIMIT_S)
RESUMED = (_token_chunks(2, 4), END_CHUNKS)


class KeptReservation(UntrackedReservation):
    """Counts how often the attempt was kept."""

    kept_count = 0

    def report_kept(self) -> None:
        """Counts the report."""
        self.kept_count += 1


class ScriptedScheduler:
    """Grants the silent engine first, then others by a script.

    Args:
        next_decode: The engine of later attempts, ``None`` to refuse them.
        wait_s: Time for which later attempts are queued.
    """

    def __init__(
        self, next_decode: UpstreamId | None, wait_s: float = 0.0
    ) -> None:
        """Starts without a reservation."""
        self._next_decode = next_decode
        self._wait_s = wait_s
        self.granted: list[KeptReservation] = []
        self.live: set[int] = set()

    @asynccontextmanager
    async def reserve(
        self,
        session: SessionContext,
        work: WorkItem,
        *,
        is_resume: bool = False,
    ) -> AsyncIterator[Reservation]:
        """Reserves engines for an attempt."""
        decode: UpstreamId | None = SILENT
        if is_resume:
            await asyncio.sleep(self._wait_s)
            decode = self._next_decode
        if decode is None:
            raise CatkinreachError(ErrorKind.QUEUE_TIMEOUT)
        reservation = KeptReservation(
            Placement(PREFILL, decode),
            attempt_id(session.request_id, work.attempt),
        )
        self.granted.append(reservation)
        self.live.add(work.attempt)
        try:
            yield reservation
        finally:
            self.live.remove(work.attempt)


def _fleet(
    prefill: Address, silent: Address, other: Address, *, has_other: bool
) -> FleetSettings:
    text = (EXAMPLES / 'ninepatch' / 'fleet.ini').read_text()
    if not has_other:
        for name in ('2', '3'):
            section = text.index(f'[upstream pattern-decode-{name}]')
            text = text[:section] + text[text.index('\n\n', section) + 2 :]
    text = text.replace('127.0.0.1:19001', str(prefill))
    text = text.replace('127.0.0.1:19003', str(silent))
    text = text.replace('127.0.0.1:19004', str(other))
    return load_fleet(text, revision=Revision(1), source='fleet')


class Outcome:
    """What the caller got, and the engines' and scheduler's record."""

    def __init__(self, scheduler: ScriptedScheduler) -> None:
        """Starts without a token."""
        self.scheduler = scheduler
        self.tokens: list[str] = []
        self.error: CatkinreachError | None = None
        self.silent_paths: list[str] = []
        self.took_s = 0.0


def _run(
    scheduler: ScriptedScheduler,
    silent_steps: Sequence[Step],
    *,
    has_other: bool = True,
    budget: RetryBudget | None = None,
) -> Outcome:
    async def run() -> Outcome:
        outcome = Outcome(scheduler)
        client = HttpClient()
        async with (
            scripted_upstream(_engine_script()) as (_, prefill),
            scripted_upstream(_engine_script(*silent_steps)) as silent,
            scripted_upstream(_engine_script(*RESUMED)) as other,
            asyncio.timeout(TEST_LIMIT_S),
        ):
            settings = _fleet(prefill, silent[1], other[1], has_other=has_other)
            request_run = _model_run(settings, scheduler, client, budget)
            started_s = time.monotonic()
            try:
                async for batch in request_run.tokens():
                    outcome.tokens += batch
            except CatkinreachError as error:
                outcome.error = error
            outcome.took_s = time.monotonic() - started_s
            await asyncio.sleep(STALL_S)
            outcome.silent_paths = silent[0].paths
            client.close()
        return outcome

    return asyncio.run(run())


def _model_run(
    settings: FleetSettings,
    scheduler: ScriptedScheduler,
    client: HttpClient,
    budget: RetryBudget | None,
) -> ModelRun:
    route = settings.routes[RouteId('completions')]
    session = SessionContext(
        request=HttpRequest('POST', '/v1/completions'),
        request_id=RequestId('r'),
        accepted_at_s=time.monotonic(),
        settings=settings,
        route=route,
        service=settings.services[route.service_id],
        workspace_id=WorkspaceId('w'),
        trace=TraceScope(INVALID_SPAN),
    )
    return ModelRun(
        session,
        Completion(
            prompt=(1,),
            max_tokens=len(TOKENS),
            model='pattern-llm',
            is_streamed=True,
            is_chat=False,
        ),
        UnlimitedGrant(),
        scheduler,
        EngineClient(client, Holder(VmId('vm-1'), Incarnation('i'))),
        HopRecorder.untraced(),
        budget or RetryBudget(),
    )


@pytest.fixture(autouse=True)
def short_limits(monkeypatch: pytest.MonkeyPatch) -> None:
    """Makes silences short."""
    monkeypatch.setattr(attempt, 'TOKEN_STALL_S', STALL_S)
    monkeypatch.setattr(model, 'RETRY_BUDGET_TIMEOUT_S', STALL_S)
    monkeypatch.setattr(takeover, 'MAX_SILENCE_S', MAX_SILENCE_S, raising=False)


@pytest.mark.parametrize('steps', [SILENT_AT_FIRST, SILENT_MIDWAY])
def test_stream_is_lost_when_no_other_engine_exists(
    steps: tuple[Step, ...],
) -> None:
    # The only engine's stream was closed before it went on.
    outcome = _run(ScriptedScheduler(None), steps, has_other=False)
    assert outcome.error is None
    assert outcome.tokens == list(TOKENS)
    assert len(outcome.scheduler.granted) == 1


@pytest.mark.parametrize('steps', [SILENT_AT_FIRST, SILENT_MIDWAY])
@pytest.mark.parametrize(
    ('next_decode', 'wait_s'), [(None, 0.0), (OTHER, SILENCE_S), (SILENT, 0.0)]
)
def test_stream_is_lost_when_other_engines_are_full(
    next_decode: UpstreamId | None, wait_s: float, steps: tuple[Step, ...]
) -> None:
    # Others were asked only after the healthy engine's stream was closed.
    outcome = _run(ScriptedScheduler(next_decode, wait_s), steps)
    assert outcome.error is None
    assert outcome.tokens == list(TOKENS)
    assert outcome.silent_paths == ['/v1/import', '/v1/decode']
    assert outcome.scheduler.granted[0].kept_count == 1
    assert not outcome.scheduler.live


def test_stream_is_lost_without_retry_budget() -> None:
    # The healthy engine's stream was closed although no retry was allowed.
    budget = RetryBudget(share=0.0, reserve=0.0)
    outcome = _run(ScriptedScheduler(OTHER), SILENT_MIDWAY, budget=budget)
    assert outcome.error is None
    assert outcome.tokens == list(TOKENS)


def test_stalled_stream_is_resumed_on_another_engine() -> None:
    outcome = _run(ScriptedScheduler(OTHER), STALLED)
    assert outcome.error is None
    assert outcome.tokens == list(TOKENS)
    assert outcome.silent_paths[-1] == '/v1/cancel'
    assert outcome.took_s < MAX_SILENCE_S
    assert not outcome.scheduler.live


@pytest.mark.parametrize('has_other', [True, False])
def test_stalled_stream_without_another_engine_ends(*, has_other: bool) -> None:
    outcome = _run(ScriptedScheduler(None), STALLED, has_other=has_other)
    assert outcome.error is not None
    assert outcome.error.kind is ErrorKind.UPSTREAM_FAILED
    assert outcome.tokens == list(TOKENS[:2])
    assert outcome.took_s >= MAX_SILENCE_S
    assert not outcome.scheduler.live
