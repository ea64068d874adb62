"""Limits on requests that upstreams name in their replies."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .decision_log import Event

if TYPE_CHECKING:
    from collections.abc import Mapping

    from catkinreach_core.gateway.metadata import ReplyMetadata
    from catkinreach_core.gateway.upstream import Upstream
    from catkinreach_core.gateway.upstream_limits import LimitReport
    from catkinreach_core.ids import RequestId, ServiceId, UpstreamId

    from .node import Node


class LimitNotes:
    """Notes the limits in replies, and what peers have heard of them."""

    def __init__(self, node: Node) -> None:
        """Takes the state of the process."""
        self._node = node

    def note(
        self, upstream: Upstream, metadata: ReplyMetadata, request_id: RequestId
    ) -> None:
        """Notes the limit in a reply; a served one without it lifts it.

        Args:
            upstream: Upstream that the request was sent to.
            metadata: Metadata of the reply.
            request_id: Request that was answered.
        """
        per_s = metadata.limit_per_s
        if metadata.is_from_other_upstream(upstream.upstream_id):
            return
        if per_s is None and not metadata.is_sealed:
            return
        node = self._node
        if node.limits.record_answer(upstream, per_s, node.clock()):
            self._log(upstream, per_s, request=request_id)
            node.load_changed.set()

    def reports(self) -> dict[UpstreamId, LimitReport]:
        """Returns what this node knows of the listed upstreams' limits."""
        node = self._node
        if not node.limits.has_words:
            return {}
        upstreams = [known.upstream for known in node.view.known_upstreams]
        return node.limits.make_reports(upstreams, node.clock())

    def apply_reports(
        self, reports: Mapping[UpstreamId, LimitReport], peer: str
    ) -> None:
        """Applies what a peer knows, where that is newer."""
        node = self._node
        for upstream_id, report in reports.items():
            known = node.view.find_upstream(upstream_id)
            if known is not None and node.limits.record_report(
                known.upstream, report, node.clock()
            ):
                self._log(known.upstream, report.per_s, peer=peer)

    def allows_request(self, upstream: Upstream) -> bool:
        """Returns whether an upstream may get a request of this node now."""
        node = self._node
        now_s = node.clock()
        return node.limits.allows_request(
            upstream, lambda: node.members.responsive(now_s), now_s
        )

    def check_wait_s(self, upstream: Upstream) -> float:
        """Returns the time until an upstream may get a check of this node."""
        node = self._node
        now_s = node.clock()
        return node.limits.check_wait_s(
            upstream, lambda: node.members.responsive(now_s), now_s
        )

    def retry_delay_s(self, service_id: ServiceId) -> float:
        """Returns the time until a service may take one more request.

        0 if some upstream has no limit, or there is none.
        """
        node = self._node
        waits_s = [
            node.limits.wait_s(known.upstream)
            for known in node.view.usable_upstreams(service_id)
        ]
        return min(waits_s, default=0.0)

    def _log(
        self, upstream: Upstream, per_s: float | None, **source: object
    ) -> None:
        self._node.log.write(
            Event.UPSTREAM_LIMITED,
            upstream=upstream.upstream_id,
            started_ms=upstream.started_ms,
            per_s=per_s,
            **source,
        )


__all__ = ('LimitNotes',)
