"""Moves a stream from a silent engine so that it can always go back.

Load pattern: several sound engines fall silent for a second while others are
slow to refuse, and the budget of a VM holds two or three retries.
"""

from __future__ import annotations

from contextlib import contextmanager, nullcontext
from typing import TYPE_CHECKING

from .exchange import ignore_sending

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator
    from contextlib import AbstractContextManager

    from catkinreach_core.gateway.upstream import Upstream

    from .attempts import Attempts
    from .engine_stream import EngineStream
    from .handover import Handover
    from .node import Node

RETRIES_TO_REPLACE = 2
"""Retries to replace a silent engine: for another one, and for a return."""


class SilentReplacement:
    """Replaces the silent engine of one stream, if it has one."""

    def __init__(self, node: Node, attempts: Attempts) -> None:
        """Starts without a silent engine."""
        self._node = node
        self._attempts = attempts
        self._handover: Handover[EngineStream] | None = None

    @property
    def is_running(self) -> bool:
        """Returns whether a silent engine has the request beside a send."""
        return self._handover is not None and not self._handover.has_given_up

    @contextmanager
    def by(self, handover: Handover[EngineStream] | None) -> Iterator[None]:
        """Lets a handover replace the engine within the context.

        Args:
            handover: The handover; ``None`` if the engine is lost.
        """
        earlier, self._handover = self._handover, handover
        try:
            yield
        finally:
            self._handover = earlier
            # A search within another one may not give back what that holds.
            if earlier is None or earlier.is_done:
                self._attempts.release_retries()

    def try_acquire_send(self) -> bool:
        """Returns whether the stream may be sent to one more engine.

        A silent engine is closed soon after the send. If the other one fails
        then, the stream returns, which takes a retry: one is held for it. Only
        the first retry of a stream is sent without, if the budget has no more;
        it must bring an event while the silent engine is kept. There's no
        return to an engine that can't be connected to.
        """
        handover = self._handover
        if handover is not None and not (
            handover.has_given_up or self._is_down(handover.silent_upstream)
        ):
            can_return = self._attempts.try_hold_retries(RETRIES_TO_REPLACE)
            if self._attempts.has_retried and not can_return:
                return False
        return self._attempts.try_acquire_send()

    def overlap(
        self, withdraw: Callable[[], None]
    ) -> AbstractContextManager[Callable[[], None]]:
        """Limits how long the silent engine has the request beside a send.

        Args:
            withdraw: Closes the send, if the stream couldn't return from it.
        """
        handover = self._handover
        if handover is None:
            return nullcontext(ignore_sending)
        return handover.overlap(
            lambda: self._may_give_up(handover.silent_upstream), withdraw
        )

    def _may_give_up(self, silent: Upstream) -> bool:
        """Returns whether a silent engine's stream may be closed by now.

        An engine that only paused goes on: unless it can't be connected to, its
        stream must be able to return.
        """
        return self._attempts.holds_retry or self._is_down(silent)

    def _is_down(self, upstream: Upstream) -> bool:
        return self._node.health.is_down(upstream.upstream_id)


__all__ = ('SilentReplacement',)
