"""Callers of a run; each changes the front only after a lost connection."""

from __future__ import annotations

import asyncio
import re
import time
from dataclasses import dataclass, replace
from http import HTTPStatus
from typing import TYPE_CHECKING, Final

import msgspec

from catkinreach_node.http.client import HttpClient
from catkinreach_node.http.connection import ConnectError, ExchangeError
from catkinreach_node.http.messages import PROBLEM_TYPE, HttpRequest

from ..config import HOST, OTHER_API_KEY
from .history import CallEnd, CallKind, CallRecord
from .invariants import DEADLINE_S
from .prompts import CRASHING_PART

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from catkinreach_node.http.client import ClientResponse

    from ..processes import FrontProcess
    from .history import History
    from .prompts import Prompts

MEAN_PAUSE_S: Final = 0.15
"""Mean pause of a caller between two calls."""

MIN_IDLE_SHARE: Final = 0.5
"""Shortest pause of an idle caller, as a share of the longest allowed one."""

CALL_TIMEOUT_S: Final = 8.0
"""Time after which a caller abandons a call."""

CANCEL_PROBABILITY: Final = 0.05
CANCEL_AFTER_S: Final = 0.1
"""Time after which a caller closes the connection of a cancelled call."""

IDLE_KINDS: Final = (CallKind.READ, CallKind.ORDER)
"""Routes that idle callers take in turn."""

_MS_PER_S: Final = 1000
_EVENT_ID: Final = re.compile(rb'id: (\d+)\n')
_EVENT_END: Final = b'\n\n'
_EVENT: Final = re.compile(rb'id: \d+\ndata: token \d+\n\n')


class _Problem(msgspec.Struct):
    """Members of a problem document, which is the body of a refusal."""

    code: str = ''
    outcome: str = ''


@dataclass(slots=True)
class _PartialResponse:
    """The part of a response that has arrived so far."""

    status: int = 0
    is_problem: bool = False
    body: bytes = b''


@dataclass(slots=True)
class Callers:
    """Runs all callers and records their calls.

    Attributes:
        fronts: Front processes to call.
        history: Where calls are recorded.
        rng: Random number generator for pauses and cancellations.
        prompts: Makes the prompts of streams.
        idle_rng: Random number generator for the pauses of idle callers.
        is_stopped: Whether callers end after their current call.
    """

    fronts: Sequence[FrontProcess]
    history: History
    rng: random.Random
    prompts: Prompts
    idle_rng: random.Random
    is_stopped: bool = False
    _request_count: int = 0

    async def run(self, count: int) -> None:
        """Runs ``count`` callers, each with its own client, until stopped.

        There is an idle caller for each front besides.
        """
        kinds = tuple(CallKind)
        callers = [
            self._run_caller(
                kinds[number // len(self.fronts) % len(kinds)], number
            )
            for number in range(count)
        ]
        idle_callers = [
            self._run_caller(
                IDLE_KINDS[number % len(IDLE_KINDS)], number, is_idle=True
            )
            for number in range(len(self.fronts))
        ]
        await asyncio.gather(*callers, *idle_callers)

    async def call(
        self,
        client: HttpClient,
        kind: CallKind,
        front: int,
        *,
        earlier: CallRecord | None = None,
        may_cancel: bool = True,
    ) -> CallRecord:
        """Makes a call and records it.

        Args:
            client: Client that keeps the caller's connections.
            kind: Route of the call.
            front: Number of the front to call.
            earlier: The caller's call before.
            may_cancel: Whether the caller may leave early.
        """
        request = self._make_request(kind)
        is_cancelling = may_cancel and self.rng.random() < CANCEL_PROBABILITY
        timeout_s = CANCEL_AFTER_S if is_cancelling else CALL_TIMEOUT_S
        partial_response = _PartialResponse()
        build = self.fronts[front].build
        sent_s = time.monotonic()
        end = await self._exchange(
            client, front, request, partial_response, timeout_s
        )
        if end is CallEnd.TIMED_OUT and is_cancelling:
            end = CallEnd.CANCELLED
        record = _make_record(
            request, kind, front, partial_response, end, sent_s
        )
        if earlier is not None:
            record = replace(record, idle_s=sent_s - earlier.ended_s)
        record = replace(record, build=build)
        self.history.calls.append(record)
        return record

    async def _run_caller(
        self, kind: CallKind, number: int, *, is_idle: bool = False
    ) -> None:
        """Calls a front until its connection fails, then the next front."""
        client = HttpClient()
        front = number % len(self.fronts)
        record = None
        while not self.is_stopped:
            record = await self.call(
                client, kind, front, earlier=record, may_cancel=not is_idle
            )
            if record.end in {CallEnd.CONNECT_FAILED, CallEnd.NO_RESPONSE}:
                front = (front + 1) % len(self.fronts)
            await asyncio.sleep(self._draw_pause_s(is_idle=is_idle))
        client.close()

    def _draw_pause_s(self, *, is_idle: bool) -> float:
        if not is_idle:
            return self.rng.uniform(0, 2 * MEAN_PAUSE_S)
        longest_s = self.history.reusable_s
        return self.idle_rng.uniform(MIN_IDLE_SHARE * longest_s, longest_s)

    async def _exchange(
        self,
        client: HttpClient,
        front: int,
        request: HttpRequest,
        partial_response: _PartialResponse,
        timeout_s: float,
    ) -> CallEnd:
        address = self.fronts[front].caller_address
        try:
            async with (
                asyncio.timeout(timeout_s),
                client.exchange(address, request) as response,
            ):
                await _read_response(partial_response, response)
        except ConnectError:
            return CallEnd.CONNECT_FAILED
        except ExchangeError:
            return (
                CallEnd.INCOMPLETE
                if partial_response.status
                else CallEnd.NO_RESPONSE
            )
        except TimeoutError:
            return CallEnd.TIMED_OUT
        if partial_response.status == HTTPStatus.OK:
            return CallEnd.ANSWERED
        return (
            CallEnd.REFUSED if partial_response.is_problem else CallEnd.FAILED
        )

    def _make_request(self, kind: CallKind) -> HttpRequest:
        self._request_count += 1
        request_id = f'soak-{self._request_count}'
        headers = [
            ('request-id', request_id),
            ('deadline-ms', str(int(DEADLINE_S * _MS_PER_S))),
            ('authorization', f'Bearer {OTHER_API_KEY}'),
            ('token-count', '500,100'),
            ('host', HOST),
        ]
        target = f'/{kind.value}/'
        if kind is CallKind.READ:
            return HttpRequest('GET', target, headers)
        if kind in {CallKind.STREAM, CallKind.ONCE}:
            headers.append(('prompt-prefix', self.prompts.make_prefix()))
        return HttpRequest('POST', target, headers, request_id.encode())


async def _read_response(
    partial_response: _PartialResponse, response: ClientResponse
) -> None:
    partial_response.status = response.status
    partial_response.is_problem = (
        response.header('content-type') == PROBLEM_TYPE
    )
    async for chunk in response.chunks():
        partial_response.body += chunk


def _make_record(
    request: HttpRequest,
    kind: CallKind,
    front: int,
    partial_response: _PartialResponse,
    end: CallEnd,
    sent_s: float,
) -> CallRecord:
    problem = _Problem()
    if end is CallEnd.REFUSED:
        problem = msgspec.json.decode(partial_response.body, type=_Problem)
    prefix = request.header('prompt-prefix') or ''
    is_stream = kind in {CallKind.STREAM, CallKind.ONCE}
    has_events = is_stream and partial_response.status == HTTPStatus.OK
    events = partial_response.body if has_events else b''
    return CallRecord(
        request_id=request.header('request-id') or '',
        kind=kind,
        front=front,
        sent_s=sent_s,
        ended_s=time.monotonic(),
        end=end,
        status=partial_response.status,
        code=problem.code,
        outcome=problem.outcome,
        event_ids=tuple(
            int(event_id) for event_id in _EVENT_ID.findall(events)
        ),
        has_partial_event=bool(events) and not events.endswith(_EVENT_END),
        is_crashing=CRASHING_PART in prefix,
        prefix=prefix,
        body=_EVENT.sub(b'', events) if is_stream else partial_response.body,
    )


__all__ = ('Callers',)
