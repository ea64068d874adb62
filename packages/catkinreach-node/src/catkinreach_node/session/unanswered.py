"""Logs and counts the callers' requests that get no whole response."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger

from ..telemetry.hop_recorder import TRACE_HEADER

if TYPE_CHECKING:
    from ..http.connection_end import UnansweredRequest
    from ..http.messages import HttpRequest
    from ..telemetry.metrics import Metrics


class UnansweredRequests:
    """The callers' requests whose connections ended too soon."""

    def __init__(self, metrics: Metrics) -> None:
        """Counts in ``metrics``."""
        self._metrics = metrics

    def note(self, unanswered: UnansweredRequest) -> None:
        """Logs and counts a request."""
        end = unanswered.end.value
        self._metrics.count_unanswered(end)
        logger.warning(
            'callers: no whole response ({}) to {} after {:.3f} s.',
            end,
            _describe(unanswered.request),
            unanswered.waited_s,
        )


def _describe(request: HttpRequest | None) -> str:
    """Returns the ids by which a request is found in logs and traces."""
    if request is None:
        return 'a request that was not read'
    request_id = request.label.request_id or 'without an id'
    trace = request.header(TRACE_HEADER) or 'none'
    return f'request {request_id} (trace {trace})'


__all__ = ('UnansweredRequests',)
