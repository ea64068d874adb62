"""Bodies of the calls that an engine takes."""

from __future__ import annotations

import msgspec

from catkinreach_core.ids import RequestId

from .engine_memory import Holder


class PrefillCall(msgspec.Struct, frozen=True):
    """Body of ``POST /v1/prefill``."""

    request_id: RequestId
    holder: Holder
    model: str
    prompt: tuple[int, ...]
    priority: int = 0


class ImportCall(msgspec.Struct, frozen=True):
    """Body of ``POST /v1/import``."""

    request_id: RequestId
    holder: Holder
    source: str
    export_id: str


class DecodeCall(msgspec.Struct, frozen=True):
    """Body of ``POST /v1/decode``."""

    request_id: RequestId
    holder: Holder
    model: str
    import_id: str
    max_tokens: int
    skip: int = 0
    priority: int = 0


class CancelCall(msgspec.Struct, frozen=True):
    """Body of ``POST /v1/cancel``."""

    request_id: RequestId


class OrderCall(msgspec.Struct, frozen=True):
    """Body of ``POST /v1/orders``."""

    kind: str
    target: str
    version: str | int | None = None
    fence: int = 0


class ExportRead(msgspec.Struct, frozen=True):
    """Body of ``POST /standin/export``, between two engines."""

    export_id: str
    mark_used: bool = False


class ExportContent(msgspec.Struct, frozen=True):
    """Answer to `ExportRead`."""

    kv_pieces: int
    prompt: tuple[int, ...]


class EngineFaults(msgspec.Struct, frozen=True):
    """Body of ``POST /standin/faults``; fields left out change nothing."""

    crash_on_digest: str | None = None
    crash_now: bool = False
    stall_imports_s: float | None = None
    cold: bool | None = None
    slow_factor: float | None = None
    drop_cache: bool = False
    restart_boot: bool = False


__all__ = (
    'CancelCall',
    'DecodeCall',
    'EngineFaults',
    'ExportContent',
    'ExportRead',
    'ImportCall',
    'OrderCall',
    'PrefillCall',
)
