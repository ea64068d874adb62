"""Records a span and a latency for each hop of a request."""

from __future__ import annotations

import time
from contextlib import contextmanager
from typing import TYPE_CHECKING

from opentelemetry import trace
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

from catkinreach_core.errors import CatkinreachError

from .hops import Hop
from .metrics import Metrics

if TYPE_CHECKING:
    from collections.abc import Iterator

    from opentelemetry.context import Context
    from opentelemetry.trace import Span, Tracer

TRACE_HEADER = 'traceparent'
ERROR_ATTRIBUTE = 'catkinreach.error'

_propagator = TraceContextTextMapPropagator()


class TraceScope:
    """The span of a hop; later hops of the request become its children."""

    def __init__(self, span: Span) -> None:
        """Wraps a span; a no-op span adds almost no cost."""
        self._span = span

    @property
    def context(self) -> Context:
        """Returns the OpenTelemetry context for child spans."""
        return trace.set_span_in_context(self._span)

    @property
    def traceparent(self) -> str:
        """Returns the W3C ``traceparent`` value, ``''`` without a trace."""
        carrier: dict[str, str] = {}
        _propagator.inject(carrier, self.context)
        return carrier.get(TRACE_HEADER, '')

    @property
    def trace_id(self) -> str:
        """Returns the trace id in hex, ``''`` without a trace."""
        span_context = self._span.get_span_context()
        if not span_context.is_valid:
            return ''
        return trace.format_trace_id(span_context.trace_id)

    def set_attribute(self, name: str, value: str | float) -> None:
        """Sets a span attribute; keys, prompts and answers must not be set."""
        self._span.set_attribute(f'catkinreach.{name}', value)


class HopRecorder:
    """Measures and traces the hops of requests in one process."""

    def __init__(self, metrics: Metrics, tracer: Tracer) -> None:
        """Takes the metrics for latencies and the tracer for spans."""
        self._metrics = metrics
        self._tracer = tracer

    @property
    def metrics(self) -> Metrics:
        """Returns the metrics that hold the latencies."""
        return self._metrics

    @classmethod
    def untraced(cls) -> HopRecorder:
        """Returns a recorder that records latencies but no spans."""
        return cls(Metrics(), trace.NoOpTracer())

    @contextmanager
    def measure_root(self, traceparent: str | None) -> Iterator[TraceScope]:
        """Measures a request's first hop as a child of the caller's span."""
        carrier = {TRACE_HEADER: traceparent} if traceparent else {}
        context = _propagator.extract(carrier)
        with self._record(Hop.ACCEPT, context) as scope:
            yield scope

    @contextmanager
    def measure(self, hop: Hop, parent: TraceScope) -> Iterator[TraceScope]:
        """Measures a hop as a child of another hop."""
        with self._record(hop, parent.context) as scope:
            yield scope

    @contextmanager
    def _record(self, hop: Hop, context: Context) -> Iterator[TraceScope]:
        started_at_s = time.monotonic()
        span = self._tracer.start_span(hop.value, context=context)
        try:
            yield TraceScope(span)
        except CatkinreachError as error:
            span.set_attribute(ERROR_ATTRIBUTE, error.kind.value)
            raise
        finally:
            span.end()
            self._metrics.hop_latency(hop).record(
                time.monotonic() - started_at_s
            )


__all__ = ('TRACE_HEADER', 'HopRecorder', 'TraceScope')
