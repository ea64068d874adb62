"""Sends the same requests through a node and directly to upstreams."""

from __future__ import annotations

import itertools
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

import msgspec

from catkinreach_core.ids import RequestId
from catkinreach_core.settings.fleet import PoolRole
from catkinreach_node.http.messages import JSON_TYPE, HttpRequest
from catkinreach_node.session.engine_client import (
    import_timeout_s,
    upstream_address,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from catkinreach_core.settings.fleet import FleetSettings, Upstream
    from catkinreach_core.settings.node import Address
    from catkinreach_node.http.client import HttpClient
    from catkinreach_node.session.engine_client import EngineClient

MODEL = 'pattern-llm'
READ_PATH = '/bee/status'
_TOKEN_MARKER = b'"text":'
"""Bytes that occur once per token in a streamed answer."""

_HTTP_OK = 200


@dataclass(slots=True)
class PathTimes:
    """Request counts and latencies of one path.

    Attributes:
        requests: Requests that were answered.
        refused: Requests that were refused.
        tokens: Tokens that were streamed.
        first_token_s: Time to the first token of each answer.
        gaps_s: Times between consecutive chunks with tokens.
        reads_s: Latency of each read of a plain service.
    """

    requests: int = 0
    refused: int = 0
    tokens: int = 0
    first_token_s: list[float] = field(default_factory=list)
    gaps_s: list[float] = field(default_factory=list)
    reads_s: list[float] = field(default_factory=list)

    @property
    def latencies(self) -> tuple[list[float], list[float], list[float]]:
        """Returns the latencies: first token, between tokens, plain reads."""
        return self.first_token_s, self.gaps_s, self.reads_s


class TokenTimer:
    """Measures the latencies of the tokens of one answer."""

    def __init__(self, times: PathTimes) -> None:
        """Starts the measurement, right before the request is sent."""
        self._times = times
        self._last_token_s = time.monotonic()
        self._is_first = True

    def record_tokens(self, count: int) -> None:
        """Records tokens that arrived in one chunk of the stream."""
        if not count:
            return
        now_s = time.monotonic()
        elapsed_s = now_s - self._last_token_s
        self._last_token_s = now_s
        times = (
            self._times.first_token_s if self._is_first else self._times.gaps_s
        )
        times.append(elapsed_s)
        self._is_first = False
        self._times.tokens += count


class ModelPath(Protocol):
    """Path through a node or directly to engines that completes prompts."""

    async def complete(
        self, prompt: tuple[int, ...], tokens: int, times: PathTimes
    ) -> None:
        """Streams one answer and times its tokens."""


class NodePath:
    """Sends requests through a node."""

    def __init__(self, client: HttpClient, address: Address, key: str) -> None:
        """Uses the caller address of a node and an API key."""
        self._client = client
        self._address = address
        self._headers = [
            ('authorization', f'Bearer {key}'),
            ('content-type', JSON_TYPE),
        ]

    async def complete(
        self, prompt: tuple[int, ...], tokens: int, times: PathTimes
    ) -> None:
        """Streams one answer and times its tokens."""
        await self.stream_completion(prompt, tokens, times)

    async def stream_completion(
        self, prompt: tuple[int, ...], tokens: int, times: PathTimes
    ) -> None:
        """Streams one answer and counts its tokens without decoding them."""
        document = {
            'model': MODEL,
            'prompt': prompt,
            'max_tokens': tokens,
            'stream': True,
        }
        request = HttpRequest(
            method='POST',
            target='/v1/completions',
            headers=self._headers,
            body=msgspec.json.encode(document),
        )
        timer = TokenTimer(times)
        async with self._client.exchange(self._address, request) as response:
            if response.status != _HTTP_OK:
                await response.read()
                times.refused += 1
                return
            async for chunk in response.chunks():
                timer.record_tokens(chunk.count(_TOKEN_MARKER))
        times.requests += 1

    async def read(self, times: PathTimes) -> None:
        """Reads from the plain service."""
        await _time_read(self._client, self._address, self._headers, times)


class DirectPath:
    """Sends requests directly to upstreams, as a node does."""

    def __init__(
        self, client: HttpClient, engines: EngineClient, settings: FleetSettings
    ) -> None:
        """Uses the upstreams of each role in turn."""
        self._client = client
        self._engines = engines
        self._prefill = _cycle_upstreams(settings, PoolRole.PREFILL)
        self._decode = _cycle_upstreams(settings, PoolRole.DECODE)
        self._plain = _cycle_upstreams(settings, PoolRole.PLAIN)
        self._request_numbers = itertools.count()

    async def complete(
        self, prompt: tuple[int, ...], tokens: int, times: PathTimes
    ) -> None:
        """Prefills, transfers the KV cache, streams and times the tokens."""
        request_id = RequestId(f'direct-{next(self._request_numbers)}')
        prefill, decode = next(self._prefill), next(self._decode)
        timer = TokenTimer(times)
        exported = await self._engines.prefill(
            prefill, request_id, MODEL, prompt
        )
        imported = await self._engines.import_kv(
            decode,
            request_id,
            prefill,
            exported.export_id,
            timeout_s=import_timeout_s(exported.kv_pieces),
        )
        async with self._engines.decode(
            decode, request_id, MODEL, imported.import_id, max_tokens=tokens
        ) as batches:
            async for events in batches:
                timer.record_tokens(sum(not event.done for event in events))
        times.requests += 1

    async def read(self, times: PathTimes) -> None:
        """Reads from a plain upstream."""
        address = upstream_address(next(self._plain))
        await _time_read(self._client, address, [], times)


async def _time_read(
    client: HttpClient,
    address: Address,
    headers: list[tuple[str, str]],
    times: PathTimes,
) -> None:
    request = HttpRequest(method='GET', target=READ_PATH, headers=headers)
    started_s = time.monotonic()
    async with client.exchange(address, request) as response:
        await response.read()
        if response.status != _HTTP_OK:
            raise RuntimeError(f'read refused: {response.status}')
    times.reads_s.append(time.monotonic() - started_s)
    times.requests += 1


def _cycle_upstreams(
    settings: FleetSettings, role: PoolRole
) -> Iterator[Upstream]:
    return itertools.cycle(
        upstream
        for upstream in settings.upstreams.values()
        if settings.pools[upstream.pool_id].role is role
    )


__all__ = ('DirectPath', 'ModelPath', 'NodePath', 'PathTimes')
