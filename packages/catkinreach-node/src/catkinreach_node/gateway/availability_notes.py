"""What upstreams say of themselves: that they leave, or want a pause."""

from __future__ import annotations

from typing import TYPE_CHECKING

from catkinreach_core.gateway.peer_availability import make_reports
from catkinreach_core.gateway.upstream import Stage

from .decision_log import Event

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from catkinreach_core.gateway.availability import Availability
    from catkinreach_core.gateway.metadata import ReplyMetadata
    from catkinreach_core.gateway.peer_availability import (
        AvailabilityReport,
        PeerAvailability,
    )
    from catkinreach_core.gateway.upstream import Upstream
    from catkinreach_core.gateway.view import FleetView
    from catkinreach_core.ids import RequestId, ServiceId, UpstreamId

    from .decision_log import DecisionLog


class AvailabilityNotes:
    """Notes what replies and peers say, and tells when to come back."""

    def __init__(
        self,
        view: FleetView,
        availability: Availability,
        peer_availability: PeerAvailability,
        log: DecisionLog,
        clock: Callable[[], float],
        report_change: Callable[[], None],
    ) -> None:
        """Takes what it needs of the node.

        Args:
            view: The known upstreams.
            availability: What upstreams answered this node.
            peer_availability: What peers report.
            log: Log of the notes.
            clock: Monotonic clock.
            report_change: Tells peers at once about a change.
        """
        self._view = view
        self._availability = availability
        self._peer_availability = peer_availability
        self._log = log
        self._clock = clock
        self._report_change = report_change

    def note(
        self, upstream: Upstream, metadata: ReplyMetadata, request_id: RequestId
    ) -> None:
        """Notes what a reply says of its upstream: it leaves, or has a pause.

        Args:
            upstream: Upstream that the request was sent to.
            metadata: Metadata of the reply.
            request_id: Request that was answered.
        """
        if metadata.is_from_other_upstream(upstream.upstream_id):
            return
        if metadata.is_leaving and self._availability.record_leaving(upstream):
            self._log.write(
                Event.UPSTREAM_LEAVING,
                upstream=upstream.upstream_id,
                started_ms=upstream.started_ms,
                request=request_id,
            )
            self._report_change()
        if metadata.pause_s and self._availability.record_pause(
            upstream, metadata.pause_s, self._clock()
        ):
            self._log.write(
                Event.UPSTREAM_PAUSED,
                upstream=upstream.upstream_id,
                started_ms=upstream.started_ms,
                request=request_id,
                pause_s=metadata.pause_s,
            )
            self._report_change()

    def reports(self) -> dict[UpstreamId, AvailabilityReport]:
        """Returns the listed upstreams that leave or asked for a pause."""
        found = map(self._view.find_upstream, self._view.upstream_ids)
        upstreams = [known.upstream for known in found if known is not None]
        return make_reports(self._availability, upstreams, self._clock())

    def apply_reports(
        self, reports: Mapping[UpstreamId, AvailabilityReport], peer: str
    ) -> None:
        """Applies a peer's report of upstreams that leave or pause.

        It only makes them less preferred for a short time.
        """
        now_s = self._clock()
        for upstream_id, report in reports.items():
            known = self._view.find_upstream(upstream_id)
            if known is not None and self._peer_availability.record(
                known.upstream, report, now_s
            ):
                self._log.write(
                    Event.UPSTREAM_REPORTED,
                    upstream=upstream_id,
                    started_ms=report.started_ms,
                    peer=peer,
                    remaining_ms=report.remaining_ms,
                )

    def retry_delay_s(self, service_id: ServiceId) -> float:
        """Returns the time until a service may have capacity again.

        0 if some upstream may get requests, or none will. An engine that only
        prefills serves no request.
        """
        upstreams = self._serving_upstreams(service_id)
        return self._availability.shortest_pause_s(upstreams, self._clock())

    def log_unavailable(
        self, service_id: ServiceId, request_id: RequestId
    ) -> None:
        """Logs that no upstream takes a refused request, if that is so.

        Each of the service's upstreams leaves or has a pause.
        """
        now_s = self._clock()
        upstreams = self._serving_upstreams(service_id)
        leaving = [
            upstream.upstream_id
            for upstream in upstreams
            if self._availability.is_leaving(upstream)
        ]
        paused = [
            upstream.upstream_id
            for upstream in upstreams
            if upstream.upstream_id not in leaving
            and self._availability.pause_s(upstream, now_s) > 0
        ]
        if upstreams and len(leaving) + len(paused) == len(upstreams):
            self._log.write(
                Event.SERVICE_UNAVAILABLE,
                request=request_id,
                service=service_id,
                leaving=leaving,
                paused=paused,
                pause_s=round(self.retry_delay_s(service_id), 3),
            )

    def _serving_upstreams(self, service_id: ServiceId) -> list[Upstream]:
        """Returns the upstreams that can serve a request by themselves."""
        return [
            known.upstream
            for known in self._view.usable_upstreams(service_id)
            if known.upstream.stage is not Stage.PREFILL
        ]


__all__ = ('AvailabilityNotes',)
