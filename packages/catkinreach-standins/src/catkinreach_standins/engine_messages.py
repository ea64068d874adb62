"""Request bodies of the engine API and of the stand-in's control endpoints."""

from __future__ import annotations

import msgspec

from catkinreach_core.ids import RequestId

from .engine_memory import Holder


class PrefillCall(msgspec.Struct, frozen=True):
    """Body of ``POST /v1/prefill``.

    Attributes:
        request_id: Request that the prefill is for.
        holder: Node process that will hold the export.
        model: Name of the model; the stand-in doesn't check it.
        prompt: Tokens of the prompt.
        priority: Lower numbers run first.
    """

    request_id: RequestId
    holder: Holder
    model: str
    prompt: tuple[int, ...]
    priority: int = 0


class ImportCall(msgspec.Struct, frozen=True):
    """Body of ``POST /v1/import``.

    Attributes:
        request_id: Request that the import is for.
        holder: Node process that will hold the import.
        source: Address of the engine that holds the export.
        export_id: Export to import.
    """

    request_id: RequestId
    holder: Holder
    source: str
    export_id: str


class DecodeCall(msgspec.Struct, frozen=True):
    """Body of ``POST /v1/decode``.

    Attributes:
        request_id: Request that the decode is for.
        holder: Node process that holds the import.
        model: Name of the model; the stand-in doesn't check it.
        import_id: Import with the KV cache of the prompt.
        max_tokens: Number of tokens of the whole answer.
        skip: Number of leading tokens that are not produced again.
        priority: Has no effect on the stand-in.
    """

    request_id: RequestId
    holder: Holder
    model: str
    import_id: str
    max_tokens: int
    skip: int = 0
    priority: int = 0


class CancelCall(msgspec.Struct, frozen=True):
    """Body of ``POST /v1/cancel``.

    Attributes:
        request_id: Request whose holdings are freed.
    """

    request_id: RequestId


class OrderCall(msgspec.Struct, frozen=True):
    """Body of ``POST /v1/orders``.

    Attributes:
        kind: ``load-model``, ``set-version`` or ``set-role``.
        target: Name of the model, or the new role.
        version: Version of the model.
        fence: Fencing number of the order.
    """

    kind: str
    target: str
    version: str | int | None = None
    fence: int = 0


class ReadExportCall(msgspec.Struct, frozen=True):
    """Body of ``POST /standin/export``, sent by the importing engine.

    Attributes:
        export_id: Export to read.
        mark_used: Whether the transfer begins, so that the export is used.
    """

    export_id: str
    mark_used: bool = False


class ExportContent(msgspec.Struct, frozen=True):
    """Response of ``POST /standin/export``.

    Attributes:
        kv_pieces: Number of KV pieces of the export.
        prompt: Tokens of its prompt.
    """

    kv_pieces: int
    prompt: tuple[int, ...]


class EngineFaults(msgspec.Struct, frozen=True):
    """Body of ``POST /standin/faults``; absent fields change nothing.

    ``crash_now``, ``drop_cache`` and ``restart_boot`` are one-time faults; the
    others stay until they are set again.

    Attributes:
        crash_on_digest: Crash on a prompt with this digest, or with a prefix
            block of this digest.
        crash_now: Crash at once.
        stall_imports_s: Simulated seconds that each import waits before its
            transfer.
        cold: Behave as just started, see ``EngineOptions.cold_places``; if
            ``EngineOptions.warmup_requests`` is 0, until it is set to false.
        slow_factor: Factor of all simulated durations.
        drop_cache: Empty the prefix cache without events.
        restart_boot: Simulate a restart, with a new boot id.
    """

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
    'ImportCall',
    'OrderCall',
    'PrefillCall',
    'ReadExportCall',
)
