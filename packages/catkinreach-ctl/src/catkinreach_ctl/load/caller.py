"""Client of the load tool: sends planned requests, records the results."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, TypeAlias

import msgspec

from catkinreach_core.documents import DocumentError, decode_json
from catkinreach_core.errors import Outcome
from catkinreach_node.http.connection import ConnectError, ExchangeError
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

    KeyLookup: TypeAlias = Callable[[WorkspaceId], str]
    Clock: TypeAlias = Callable[[], float]

REQUEST_TIMEOUT_S = 60.0
MS_PER_S = 1000
NO_CONNECTION = 'no-connection'
_HTTP_OK = 200


class Problem(msgspec.Struct, frozen=True):
    """Fields of a problem document that the load tool evaluates."""

    code: str
    outcome: str


class Caller:
    """Sends each request to one address, over a new connection."""

    def __init__(
        self,
        client: HttpClient,
        address: Address,
        key_of: KeyLookup,
        check: AnswerCheck,
    ) -> None:
        """Creates a caller.

        Args:
            client: HTTP client.
            address: Address to which requests are sent.
            key_of: Returns the API key of a workspace.
            check: Check of answers.
        """
        self._client = client
        self._address = address
        self._key_of = key_of
        self._check = check

    async def send_request(
        self, planned: PlannedRequest, clock: Clock
    ) -> Observation:
        """Sends a request and returns how it ended.

        Network errors and unreadable answers are recorded, not raised.

        Args:
            planned: Request to send.
            clock: Returns the seconds since the start of the run.
        """
        observation = Observation(planned=planned, sent_at_s=clock())
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                await self._exchange(observation, clock)
        except ConnectError:
            observation.verdict = Verdict.REFUSED
            observation.code = NO_CONNECTION
        except TimeoutError:
            observation.code = 'no-end'
        except ExchangeError:
            observation.code = 'cut-off' if observation.status else 'no-answer'
        except DocumentError:
            observation.code = 'unreadable'
        observation.ended_at_s = clock()
        return observation

    async def _exchange(self, observation: Observation, clock: Clock) -> None:
        request = self._build_request(observation.planned)
        async with self._client.exchange(
            self._address, request, is_new_connection=True
        ) as response:
            observation.status = response.status
            if response.status != _HTTP_OK:
                _record_refusal(observation, await response.read())
            elif observation.planned.prompt:
                await self._read_completion(observation, response, clock)
            else:
                await self._read_plain_answer(observation, response, clock)

    def _build_request(self, planned: PlannedRequest) -> HttpRequest:
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

    async def _read_completion(
        self, observation: Observation, response: ClientResponse, clock: Clock
    ) -> None:
        planned = observation.planned
        reader = AnswerReader(observation)
        if planned.request_class.is_streamed:
            async for chunk in response.chunks():
                reader.feed(chunk, clock())
        else:
            reader.read_body(await response.read(), clock())
        fault = reader.fault or self._check.completion_fault(
            planned, reader.text
        )
        _record_verdict(observation, fault)

    async def _read_plain_answer(
        self, observation: Observation, response: ClientResponse, clock: Clock
    ) -> None:
        body = await response.read()
        observation.first_at_s = clock()
        _record_verdict(
            observation, self._check.plain_fault(observation.planned, body)
        )


def _record_verdict(observation: Observation, fault: str) -> None:
    observation.code = fault
    if not fault:
        observation.verdict = Verdict.ANSWERED


def _record_refusal(observation: Observation, body: bytes) -> None:
    problem = decode_json(body, Problem)
    observation.code = problem.code
    if problem.outcome == Outcome.NOT_RUN.value:
        observation.verdict = Verdict.REFUSED


__all__ = ('Caller',)
