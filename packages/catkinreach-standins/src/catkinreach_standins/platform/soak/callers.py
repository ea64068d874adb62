"""Callers that keep their connections open until the process is gone."""

from __future__ import annotations

import asyncio
import re
import time
from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING, Final

import msgspec

from catkinreach_node.http.client import ConnectError, ExchangeError, HttpClient
from catkinreach_node.http.messages import PROBLEM_TYPE, HttpRequest

from ..config import HOST, OTHER_KEY
from .history import CallEnd, CallKind, CallRecord
from .invariants import DEADLINE_S

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from catkinreach_node.http.client import ClientResponse

    from ..processes import FrontProcess
    from .history import History

PAUSE_S: Final = 0.15
PATIENCE_S: Final = 8.0
"""Time after which a caller takes a call as lost."""

LEAVING_SHARE: Final = 0.05
LEAVES_AFTER_S: Final = 0.1
_MS_PER_S: Final = 1000
_EVENT: Final = re.compile(rb'id: (\d+)\n')
_EVENT_END: Final = b'\n\n'


class _Problem(msgspec.Struct):
    code: str = ''
    outcome: str = ''


@dataclass(slots=True)
class _Answer:
    """What has come of an answer so far."""

    status: int = 0
    is_problem: bool = False
    body: bytes = b''


@dataclass(slots=True)
class Callers:
    """All callers of a run."""

    fronts: Sequence[FrontProcess]
    history: History
    rng: random.Random
    is_over: bool = False
    _sent: int = 0

    async def run(self, count: int) -> None:
        """Calls until ``is_over``."""
        kinds = tuple(CallKind)
        callers = [
            self._call_on(kinds[number % len(kinds)], number)
            for number in range(count)
        ]
        await asyncio.gather(*callers)

    async def call(
        self, client: HttpClient, kind: CallKind, front: int
    ) -> CallRecord:
        """Makes one call and records it."""
        request = self._request(kind)
        is_leaving = self.rng.random() < LEAVING_SHARE
        limit_s = LEAVES_AFTER_S if is_leaving else PATIENCE_S
        answer = _Answer()
        sent_s = time.monotonic()
        end = await self._exchange(client, front, request, answer, limit_s)
        if end is CallEnd.TIMED_OUT and is_leaving:
            end = CallEnd.LEFT
        record = _record(request, kind, front, answer, end, sent_s)
        self.history.calls.append(record)
        return record

    async def _call_on(self, kind: CallKind, number: int) -> None:
        """Keeps to one front while it can be reached."""
        client = HttpClient()
        front = number % len(self.fronts)
        while not self.is_over:
            record = await self.call(client, kind, front)
            if record.end in {CallEnd.UNREACHED, CallEnd.BROKEN}:
                front = (front + 1) % len(self.fronts)
            await asyncio.sleep(self.rng.uniform(0, 2 * PAUSE_S))
        client.close()

    async def _exchange(
        self,
        client: HttpClient,
        front: int,
        request: HttpRequest,
        answer: _Answer,
        limit_s: float,
    ) -> CallEnd:
        address = self.fronts[front].caller_address
        try:
            async with (
                asyncio.timeout(limit_s),
                client.exchange(address, request) as response,
            ):
                await _read_into(answer, response)
        except ConnectError:
            return CallEnd.UNREACHED
        except ExchangeError:
            return CallEnd.CUT if answer.status else CallEnd.BROKEN
        except TimeoutError:
            return CallEnd.TIMED_OUT
        if answer.status == HTTPStatus.OK:
            return CallEnd.ANSWERED
        return CallEnd.REFUSED if answer.is_problem else CallEnd.FAILED

    def _request(self, kind: CallKind) -> HttpRequest:
        self._sent += 1
        request_id = f'soak-{self._sent}'
        headers = [
            ('request-id', request_id),
            ('deadline-ms', str(int(DEADLINE_S * _MS_PER_S))),
            ('authorization', f'Bearer {OTHER_KEY}'),
            ('token-count', '500,100'),
            ('host', HOST),
        ]
        target = f'/{kind.value}/'
        if kind is CallKind.READ:
            return HttpRequest('GET', target, headers)
        return HttpRequest('POST', target, headers, request_id.encode())


async def _read_into(answer: _Answer, response: ClientResponse) -> None:
    answer.status = response.status
    answer.is_problem = response.header('content-type') == PROBLEM_TYPE
    async for chunk in response.chunks():
        answer.body += chunk


def _record(
    request: HttpRequest,
    kind: CallKind,
    front: int,
    answer: _Answer,
    end: CallEnd,
    sent_s: float,
) -> CallRecord:
    problem = _Problem()
    if end is CallEnd.REFUSED:
        problem = msgspec.json.decode(answer.body, type=_Problem)
    is_stream = kind in {CallKind.STREAM, CallKind.ONCE}
    has_events = is_stream and answer.status == HTTPStatus.OK
    events = answer.body if has_events else b''
    return CallRecord(
        request_id=request.header('request-id') or '',
        kind=kind,
        front=front,
        sent_s=sent_s,
        ended_s=time.monotonic(),
        end=end,
        status=answer.status,
        code=problem.code,
        outcome=problem.outcome,
        events=tuple(int(one) for one in _EVENT.findall(events)),
        has_torn_event=bool(events) and not events.endswith(_EVENT_END),
    )


__all__ = ('Callers',)
