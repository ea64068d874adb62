"""Sends one planned request and observes how it ends."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, TypeAlias

import msgspec

from catkinreach_core.errors import Outcome
from catkinreach_node.http.client import ConnectError, ExchangeError
from catkinreach_node.http.messages import JSON_TYPE, HttpRequest

from .answer_stream import AnswerReader
from .idempotency import uuid7
from .observation import Observation, Verdict
from .workload import RequestKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinreach_core.ids import WorkspaceId
    from catkinreach_core.settings.node import Address
    from catkinreach_node.http.client import ClientResponse, HttpClient
    from catkinreach_node.http.messages import Headers

    from .checks import AnswerCheck
    from .plan import PlannedRequest

    KeyOf: TypeAlias = Callable[[WorkspaceId], str]
    Clock: TypeAlias = Callable[[], float]

REQUEST_LIMIT_S = 60.0
MS_PER_S = 1000
NO_CONNECTION = 'no-connection'
_HTTP_OK = 200


class Problem(msgspec.Struct, frozen=True):
    """What a caller needs of a problem document."""

    code: str
    outcome: str


class Caller:
    """Sends requests to one address, each on a connection of its own."""

    def __init__(
        self,
        client: HttpClient,
        address: Address,
        key_of: KeyOf,
        check: AnswerCheck,
    ) -> None:
        """Keeps where to send and how to judge answers."""
        self._client = client
        self._address = address
        self._key_of = key_of
        self._check = check

    async def send(self, planned: PlannedRequest, clock: Clock) -> Observation:
        """Sends a request; never raises for what the other side does.

        Args:
            planned: What to send.
            clock: Seconds since the start of the run.
        """
        observation = Observation(planned=planned, sent_at_s=clock())
        try:
            async with asyncio.timeout(REQUEST_LIMIT_S):
                await self._exchange(observation, clock)
        except ConnectError:
            observation.verdict = Verdict.REFUSED
            observation.code = NO_CONNECTION
        except TimeoutError:
            observation.code = 'no-end'
        except ExchangeError:
            observation.code = 'cut-off' if observation.status else 'no-answer'
        except msgspec.DecodeError:
            observation.code = 'unreadable'
        observation.ended_at_s = clock()
        return observation

    async def _exchange(self, observation: Observation, clock: Clock) -> None:
        request = self._request(observation.planned)
        async with self._client.exchange(
            self._address, request, is_new_connection=True
        ) as response:
            observation.status = response.status
            if response.status != _HTTP_OK:
                _take_refusal(observation, await response.read())
            elif observation.planned.prompt:
                await self._take_completion(observation, response, clock)
            else:
                await self._take_plain(observation, response, clock)

    def _request(self, planned: PlannedRequest) -> HttpRequest:
        request_class = planned.request_class
        key = self._key_of(planned.workspace_id)
        headers: Headers = [
            ('authorization', f'Bearer {key}'),
            ('content-type', JSON_TYPE),
        ]
        if request_class.kind is RequestKind.ORDER:
            unix_ms = int(time.time() * MS_PER_S)
            headers.append(('idempotency-key', uuid7(unix_ms, planned.salt)))
        return HttpRequest(
            method=request_class.method,
            target=request_class.path,
            headers=headers,
            body=planned.body,
        )

    async def _take_completion(
        self, observation: Observation, response: ClientResponse, clock: Clock
    ) -> None:
        planned = observation.planned
        reader = AnswerReader(observation)
        if planned.request_class.is_streamed:
            async for chunk in response.chunks():
                reader.feed(chunk, clock())
        else:
            reader.take_whole(await response.read(), clock())
        fault = reader.fault or self._check.completion_fault(
            planned, reader.text
        )
        _conclude(observation, fault)

    async def _take_plain(
        self, observation: Observation, response: ClientResponse, clock: Clock
    ) -> None:
        body = await response.read()
        observation.first_at_s = clock()
        _conclude(
            observation, self._check.plain_fault(observation.planned, body)
        )


def _conclude(observation: Observation, fault: str) -> None:
    observation.code = fault
    if not fault:
        observation.verdict = Verdict.ANSWERED


def _take_refusal(observation: Observation, body: bytes) -> None:
    problem = msgspec.json.decode(body, type=Problem)
    observation.code = problem.code
    if problem.outcome == Outcome.NOT_RUN.value:
        observation.verdict = Verdict.REFUSED


__all__ = ('Caller',)
