"""How requests end: with an upstream's answer, or with a refusal."""

from __future__ import annotations

from typing import TYPE_CHECKING

from catkinreach_core.errors import CatkinreachError

from .decision_log import Event
from .gateway_metrics import RequestStage

if TYPE_CHECKING:
    from catkinreach_core.errors import ErrorKind
    from catkinreach_core.ids import UpstreamId

    from .admitted_request import AdmittedRequest
    from .node import Node

RETRY_AFTER_S = 0.25
RETRY_SPREAD_S = 0.25
"""Random part of the retry delay, so that refused callers spread out."""


def record_answer(
    node: Node,
    admitted: AdmittedRequest,
    upstream_id: UpstreamId,
    **inputs: object,
) -> None:
    """Records a complete, successful reply of an upstream."""
    now_s = node.clock()
    after_s = now_s - admitted.arrived_s
    node.health.record_success(upstream_id, now_s)
    node.metrics.record(RequestStage.TOTAL, after_s)
    node.log.write(
        Event.ANSWERED,
        request=admitted.metadata.request_id,
        upstream=upstream_id,
        **inputs,
        after_s=round(after_s, 4),
    )


def refusal(
    node: Node,
    kind: ErrorKind,
    *,
    min_delay_s: float = RETRY_AFTER_S,
    detail: str = '',
) -> CatkinreachError:
    """Returns a refusal with a random retry delay, to spread callers out."""
    return CatkinreachError(
        kind,
        detail,
        retry_after_s=min_delay_s + node.rng.random() * RETRY_SPREAD_S,
    )


__all__ = ('record_answer', 'refusal')
