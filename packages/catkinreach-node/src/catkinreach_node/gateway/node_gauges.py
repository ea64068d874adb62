"""Gauges of the state that a node's decisions depend on."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from .node import Node


def add_gauges(node: Node) -> None:
    """Adds the gauges of a node to its metrics."""
    for name, read in {**_fleet_gauges(node), **_own_gauges(node)}.items():
        node.metrics.add_gauge(name, read)


def _fleet_gauges(node: Node) -> dict[str, Callable[[], float]]:
    """Returns gauges of what the node knows of the store, peers and upstreams.

    Each is read when the metrics are scraped.
    """
    return {
        'members': lambda: node.members.count,
        'members_silent': lambda: node.members.silent_count(node.clock()),
        'catalog_version': lambda: (
            node.view.catalog.version if node.view.catalog else 0
        ),
        'store_revision': lambda: node.revision,
        'store_revision_of_peers': lambda: node.peer_reports.newest_revision,
        'store_read_age_seconds': lambda: node.store_read_age_s or 0.0,
        'upstreams_known': lambda: len(node.view.upstream_ids),
        'upstreams_down': lambda: len(node.health.unreachable_upstreams()),
        'upstreams_leaving': node.availability.leaving_count,
        'upstreams_paused': lambda: node.availability.paused_count(
            node.clock()
        ),
        'upstreams_limited': lambda: node.limits.limited_count,
        'upstreams_replaced': lambda: len(node.health.replaced_upstreams()),
    }


def _own_gauges(node: Node) -> dict[str, Callable[[], float]]:
    """Returns gauges of the node's own work."""
    return {
        'streams_waiting': lambda: node.wait_queues.waiting_streams,
        'reply_buffer_bytes': lambda: node.reply_buffer.used_bytes,
        'connections_opened': lambda: node.pool.opened_count,
        'log_lines_dropped': lambda: node.log.dropped,
    }


__all__ = ('add_gauges',)
