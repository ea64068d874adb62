"""This node's queues of streams that wait for memory, by service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from catkinreach_core.gateway.wait_queue import WaitQueue

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinreach_core.gateway.view import FleetView
    from catkinreach_core.ids import ServiceId


class WaitQueues:
    """The wait queues of one node."""

    def __init__(self, view: FleetView, clock: Callable[[], float]) -> None:
        """Starts without waiting streams.

        Args:
            view: Tells which services have several priorities.
            clock: Returns monotonic time in seconds.
        """
        self._view = view
        self._clock = clock
        self._queues: dict[ServiceId, WaitQueue] = {}

    @property
    def waiting_streams(self) -> int:
        """Returns the number of streams that wait."""
        return sum(queue.count for queue in self._queues.values())

    def of(self, service_id: ServiceId) -> WaitQueue:
        """Returns the queue of a service."""
        return self._queues.setdefault(service_id, WaitQueue())

    def tokens(self) -> dict[ServiceId, int]:
        """Returns the memory tokens that queued streams need, by service."""
        return {
            service_id: queue.tokens
            for service_id, queue in self._queues.items()
            if queue.count
        }

    def tokens_by_rank(self) -> dict[ServiceId, dict[int, int]]:
        """Returns the same by rank, of services with several priorities."""
        catalog = self._view.catalog
        if catalog is None or not catalog.prioritized_services:
            return {}
        return {
            service_id: queue.tokens_by_rank(self._clock())
            for service_id, queue in self._queues.items()
            if queue.count and catalog.has_priorities(service_id)
        }


__all__ = ('WaitQueues',)
