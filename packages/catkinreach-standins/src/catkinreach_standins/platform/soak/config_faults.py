"""Publishes versions of the configuration during a run."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final

from ..config import (
    IDLE_TIMEOUT_MS,
    PLAIN_SERVICE,
    make_config,
    make_limits,
    make_route,
)

if TYPE_CHECKING:
    import random

    from ..store import StoreStandin
    from .history import History

FIRST_VERSION: Final = 5
IDLE_TIMEOUTS_MS: Final = (1000, IDLE_TIMEOUT_MS, 3000)
HEADER_TIMEOUTS_MS: Final = (500, 1000, 2000)
LARGE_ROUTE_COUNT: Final = 4000
_MS_PER_S: Final = 1000


class ConfigPublisher:
    """Writes the configuration to the store, each time as a new version."""

    def __init__(
        self, store: StoreStandin, history: History, rng: random.Random
    ) -> None:
        """Publishes nothing yet; the store has the first version.

        Args:
            store: Store to write to.
            history: Where limits are recorded.
            rng: Random number generator for limits.
        """
        self._store = store
        self._history = history
        self._rng = rng
        self._version = FIRST_VERSION
        history.record_idle_limit(0.0, IDLE_TIMEOUT_MS / _MS_PER_S)

    def publish(
        self, *, idle_timeout_ms: int = IDLE_TIMEOUT_MS, **changed: object
    ) -> None:
        """Writes a new version.

        Args:
            idle_timeout_ms: Limit on the idle time of callers' connections.
            **changed: Members that replace those of the configuration.
        """
        self._version += 1
        limits = make_limits(**{'idle-timeout-ms': idle_timeout_ms})
        document = make_config(self._version, **{'limits': limits, **changed})
        self._history.record_idle_limit(
            time.monotonic(), idle_timeout_ms / _MS_PER_S
        )
        self._store.put('op/config', document)

    def publish_other_limits(self) -> None:
        """Writes a version with limits drawn at random."""
        idle_timeout_ms = self._rng.choice(IDLE_TIMEOUTS_MS)
        limits = make_limits(
            **{
                'idle-timeout-ms': idle_timeout_ms,
                'header-timeout-ms': self._rng.choice(HEADER_TIMEOUTS_MS),
            }
        )
        self.publish(idle_timeout_ms=idle_timeout_ms, limits=limits)

    def publish_large(self) -> None:
        """Writes a version with so many routes that decoding takes time."""
        routes = make_config(self._version)['routes']
        assert isinstance(routes, list)  # noqa: S101 - narrows the type
        others = [
            make_route(f'other-{number}', 'idempotent', PLAIN_SERVICE)
            for number in range(LARGE_ROUTE_COUNT)
        ]
        self.publish(routes=[*routes, *others])


__all__ = ('FIRST_VERSION', 'ConfigPublisher')
