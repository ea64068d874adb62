"""Counters and logs of an engine, served to tests."""

from __future__ import annotations

import msgspec

from catkinreach_core.ids import RequestId

from .engine_messages import OrderCall


class RequestEntry(msgspec.Struct, frozen=True):
    """A call that the engine received for a request.

    Attributes:
        request_id: The request.
        kind: ``prefill``, ``import``, ``decode`` or ``cancel``.
        at_s: Time of the call on the monotonic clock.
    """

    request_id: RequestId
    kind: str
    at_s: float


class EngineRecord(msgspec.Struct):
    """Counters and logs since the start of the process.

    A simulated restart resets none of them.

    Attributes:
        prefills: Completed prefills.
        prefill_tokens: Tokens that prefills computed.
        cached_tokens: Tokens that prefills found in the prefix cache.
        wasted_exports: Exports that expired before a transfer began.
        decodes: Decodes that started or were resumed.
        completed_decodes: Decodes whose last token was sent.
        decoded_tokens: Tokens that were sent.
        imports: Completed imports.
        cancels: Cancel calls.
        max_running: Size of the largest decode batch.
        bytes_received: Bytes received over all connections.
        header_names: Names of all request headers of the engine API.
        requests: Calls for requests, in the order of arrival.
        orders: Orders that were applied.
    """

    prefills: int = 0
    prefill_tokens: int = 0
    cached_tokens: int = 0
    wasted_exports: int = 0
    decodes: int = 0
    completed_decodes: int = 0
    decoded_tokens: int = 0
    imports: int = 0
    cancels: int = 0
    max_running: int = 0
    bytes_received: int = 0
    header_names: set[str] = msgspec.field(default_factory=set)
    requests: list[RequestEntry] = msgspec.field(default_factory=list)
    orders: list[OrderCall] = msgspec.field(default_factory=list)


__all__ = ('EngineRecord', 'RequestEntry')
