"""Span export to a file of OTLP JSON lines or to an OTLP collector."""

from __future__ import annotations

import base64
import json
from pathlib import Path
from typing import TYPE_CHECKING, Any

from google.protobuf.json_format import MessageToDict
from opentelemetry import trace
from opentelemetry.exporter.otlp.proto.common.trace_encoder import (
    encode_spans,
)
from opentelemetry.exporter.otlp.proto.http.trace_exporter import (
    OTLPSpanExporter,
)
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    SpanExporter,
    SpanExportResult,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from opentelemetry.sdk.trace import ReadableSpan
    from opentelemetry.trace import Tracer

    from catkinreach_core.ids import VmId
    from catkinreach_core.settings.node import TraceSettings

_ID_FIELDS = frozenset({'traceId', 'spanId', 'parentSpanId'})
SHUTDOWN_FLUSH_TIMEOUT_MS = 2000


class JsonLinesExporter(SpanExporter):
    """Appends each batch of spans as one line of OTLP JSON.

    OTLP 1.x encodes ids as hex, where plain protobuf JSON uses base64.
    """

    def __init__(self, path: Path) -> None:
        """Takes the file to append to."""
        self._path = path

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Appends one line with the spans."""
        document = MessageToDict(encode_spans(spans))
        line = json.dumps(_with_hex_ids(document))
        try:
            with self._path.open('a', encoding='utf-8') as lines:
                lines.write(f'{line}\n')
        except OSError:
            return SpanExportResult.FAILURE
        return SpanExportResult.SUCCESS


class Tracing:
    """Provides the tracer of a process and flushes its spans at the end."""

    def __init__(self, provider: TracerProvider | None) -> None:
        """Takes a provider; ``None`` records no spans."""
        self._provider = provider

    @property
    def tracer(self) -> Tracer:
        """Returns the tracer for the hops of requests."""
        if self._provider is None:
            return trace.NoOpTracer()
        return self._provider.get_tracer('catkinreach')

    @classmethod
    def from_settings(cls, settings: TraceSettings, vm_id: VmId) -> Tracing:
        """Returns the tracing that the settings configure."""
        exporters: list[SpanExporter] = []
        if settings.file:
            exporters.append(JsonLinesExporter(Path(settings.file)))
        if settings.collector:
            exporters.append(
                OTLPSpanExporter(
                    endpoint=f'http://{settings.collector}/v1/traces'
                )
            )
        if not exporters:
            return cls(None)
        provider = TracerProvider(
            resource=Resource.create(
                {
                    'service.name': 'catkinreachd',
                    'service.instance.id': vm_id,
                }
            )
        )
        for exporter in exporters:
            provider.add_span_processor(BatchSpanProcessor(exporter))
        return cls(provider)

    def close(self) -> None:
        """Exports the remaining spans, then shuts the exporters down.

        The flush takes at most ``SHUTDOWN_FLUSH_TIMEOUT_MS``.
        """
        if self._provider is not None:
            self._provider.force_flush(SHUTDOWN_FLUSH_TIMEOUT_MS)
            self._provider.shutdown()


def _with_hex_ids(json_value: Any) -> Any:
    if isinstance(json_value, list):
        return [_with_hex_ids(child) for child in json_value]
    if not isinstance(json_value, dict):
        return json_value
    return {
        name: base64.b64decode(child).hex()
        if name in _ID_FIELDS
        else _with_hex_ids(child)
        for name, child in json_value.items()
    }


__all__ = ('JsonLinesExporter', 'Tracing')
