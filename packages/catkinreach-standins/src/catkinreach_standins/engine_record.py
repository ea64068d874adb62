"""What an engine has done so far, for tests to read."""

from __future__ import annotations

import msgspec

from catkinreach_core.ids import RequestId

from .engine_messages import OrderCall


class RequestEntry(msgspec.Struct, frozen=True):
    """One step of one request, at a monotonic time in seconds."""

    request_id: RequestId
    kind: str
    at_s: float


class EngineRecord(msgspec.Struct):
    """Counters and logs of one engine process."""

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
