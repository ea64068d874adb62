"""Runs a model request of a node on two decode engines of scripted bytes."""

from __future__ import annotations

import asyncio
import time
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from catkinreach_core.cell.retry_budget import RetryBudget
from catkinreach_core.errors import CatkinreachError, ErrorKind
from catkinreach_core.ids import (
    Incarnation,
    RouteId,
    UpstreamId,
    VmId,
    attempt_id,
)
from catkinreach_core.placement.policy import Placement, WorkItem
from catkinreach_core.settings.node import Address
from catkinreach_node.http.client import HttpClient
from catkinreach_node.http.messages import EVENT_STREAM_TYPE, HttpRequest
from catkinreach_node.session.completion import Completion
from catkinreach_node.session.engine_answers import Holder
from catkinreach_node.session.engine_client import EngineClient
from catkinreach_node.session.interfaces import (
    Reservation,
    UnlimitedGrant,
    UntrackedReservation,
)
from catkinreach_node.session.model import ModelRun
from catkinreach_node.telemetry.hop_recorder import HopRecorder

from ..bench.ports import LOOPBACK, free_ports
from .scripted_upstream import (
    Script,
    Step,
    encode_response,
    scripted_upstream,
)
from .sessions import load_example_fleet, make_session, read_example_fleet

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence

    from catkinreach_core.settings.fleet import FleetSettings
    from catkinreach_node.session.context import SessionContext

TEST_LIMIT_S = 10.0
CANCEL_S = 0.12
"""Time in which engines are sent the cancels of attempts that ended."""

PREFILL = UpstreamId('pattern-prefill-1')
FIRST = UpstreamId('pattern-decode-1')
OTHER = UpstreamId('pattern-decode-2')
TOKENS = tuple(f'token {number}' for number in range(4))
STREAM_HEAD = (
    f'HTTP/1.1 200 OK\r\ncontent-type: {EVENT_STREAM_TYPE}\r\n'
    'transfer-encoding: chunked\r\n\r\n'
).encode()
JSON_ANSWERS = {
    '/v1/prefill': b'{"export_id":"e","prompt_tokens":1,"cached_tokens":0,'
    b'"kv_pieces":1,"expires_in_s":1}',
    '/v1/import': b'{"import_id":"i","kv_pieces":1}',
    '/v1/cancel': b'{"released":1}',
}


def event_chunk(text: str) -> bytes:
    """Returns the chunk with one event of a decode."""
    event = f'data: {text}\n\n'.encode()
    return f'{len(event):x}\r\n'.encode() + event + b'\r\n'


def token_chunks(first: int, end: int) -> bytes:
    """Returns the chunks of a range of tokens."""
    return b''.join(
        event_chunk(f'{{"index":{index},"token":"{TOKENS[index]}"}}')
        for index in range(first, end)
    )


END_CHUNKS = (
    event_chunk('{"done":true,"finish":"length","completion_tokens":4}')
    + b'0\r\n\r\n'
)


def engine_script(*decode_steps: Step, head: bytes = STREAM_HEAD) -> Script:
    """Returns the script of an engine with these steps in its decodes."""

    def script(path: str, _: int) -> Sequence[Step]:
        if path == '/v1/decode':
            return (head, *decode_steps)
        return (encode_response(JSON_ANSWERS[path]),)

    return script


RESUMED = (token_chunks(2, 4), END_CHUNKS)


class KeptReservation(UntrackedReservation):
    """Counts how often the attempt was kept."""

    kept_count = 0

    def report_kept(self) -> None:
        """Counts the report."""
        self.kept_count += 1


class ScriptedScheduler:
    """Grants the first engine at first, later ones by a script.

    Args:
        next_decode: The engine of later attempts, ``None`` to refuse them.
        wait_s: Time for which later attempts are queued.
        instead: Engines of later attempts that exclude ``next_decode``, in
            turn; without one that isn't excluded, that is granted all the same.
    """

    def __init__(
        self,
        next_decode: UpstreamId | None,
        wait_s: float = 0.0,
        *,
        instead: tuple[UpstreamId, ...] = (),
    ) -> None:
        """Starts without a reservation."""
        self._next_decode = next_decode
        self._instead = instead
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
        decode: UpstreamId | None = FIRST
        if is_resume:
            await asyncio.sleep(self._wait_s)
            decode = self._next_decode
            if decode in work.excluded:
                left = (
                    one for one in self._instead if one not in work.excluded
                )
                decode = next(left, decode)
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
    prefill: Address, first: Address, other: Address, *, has_other: bool
) -> FleetSettings:
    text = read_example_fleet()
    if not has_other:
        for name in ('2', '3'):
            section = text.index(f'[upstream pattern-decode-{name}]')
            text = text[:section] + text[text.index('\n\n', section) + 2 :]
    text = text.replace('127.0.0.1:19001', str(prefill))
    text = text.replace('127.0.0.1:19003', str(first))
    text = text.replace('127.0.0.1:19004', str(other))
    return load_example_fleet(text)


class ModelOutcome:
    """What the caller got, and the engines' and scheduler's record."""

    def __init__(self, scheduler: ScriptedScheduler) -> None:
        """Starts without a token."""
        self.scheduler = scheduler
        self.tokens: list[str] = []
        self.error: CatkinreachError | None = None
        self.first_paths: list[str] = []
        self.took_s = 0.0


def run_model(
    scheduler: ScriptedScheduler,
    first: Script,
    other: Script | None = None,
    *,
    has_other: bool = True,
    is_other_open: bool = True,
    budget: RetryBudget | None = None,
) -> ModelOutcome:
    """Runs a request whose prefill engine is healthy.

    Args:
        scheduler: Grants the engines.
        first: Script of the first decode engine.
        other: Script of the other one; by default it resumes after two tokens.
        has_other: Whether the fleet has the other one.
        is_other_open: Whether the other one accepts connections.
        budget: Retries that the node may make.
    """

    async def run() -> ModelOutcome:
        outcome = ModelOutcome(scheduler)
        client = HttpClient()
        async with (
            scripted_upstream(engine_script()) as (_, prefill),
            scripted_upstream(first) as (first_engine, first_address),
            scripted_upstream(other or engine_script(*RESUMED)) as (
                _,
                other_address,
            ),
            asyncio.timeout(TEST_LIMIT_S),
        ):
            settings = _fleet(
                prefill,
                first_address,
                other_address if is_other_open else _closed_address(),
                has_other=has_other,
            )
            request_run = _model_run(settings, scheduler, client, budget)
            started_s = time.monotonic()
            try:
                async for batch in request_run.tokens():
                    outcome.tokens += batch
            except CatkinreachError as error:
                outcome.error = error
            outcome.took_s = time.monotonic() - started_s
            await asyncio.sleep(CANCEL_S)
            outcome.first_paths = first_engine.paths
            client.close()
        return outcome

    return asyncio.run(run())


def _closed_address() -> Address:
    """Returns an address that refuses connections; the fleet has no such."""
    fleet = read_example_fleet()
    port = free_ports(1)[0]
    while f':{port}' in fleet:
        port = free_ports(1)[0]
    return Address(LOOPBACK, port)


def _model_run(
    settings: FleetSettings,
    scheduler: ScriptedScheduler,
    client: HttpClient,
    budget: RetryBudget | None,
) -> ModelRun:
    session = make_session(
        settings,
        RouteId('completions'),
        HttpRequest('POST', '/v1/completions'),
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


__all__ = (
    'END_CHUNKS',
    'FIRST',
    'OTHER',
    'STREAM_HEAD',
    'TEST_LIMIT_S',
    'TOKENS',
    'ModelOutcome',
    'ScriptedScheduler',
    'engine_script',
    'event_chunk',
    'run_model',
    'token_chunks',
)
