"""What replies to checks prove of an upstream's identity."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from msgspec import Struct

from .metadata import ReplyMetadata

if TYPE_CHECKING:
    from .upstream import Upstream

RESTART_S: Final = 0.5
"""Silence in which an upstream may crash and start again under its id."""


class Identity(Struct, frozen=True, kw_only=True):
    """What the reply to a check says of its sender.

    Attributes:
        metadata: Metadata of the reply.
        started_ms: Start of the sender in Unix milliseconds, if given.
        opened_s: Monotonic time at which the connection was opened.
    """

    metadata: ReplyMetadata
    started_ms: int | None
    opened_s: float

    @property
    def is_refusal(self) -> bool:
        """Returns whether the check was refused without a name."""
        metadata = self.metadata
        return metadata.has_not_run and metadata.answered_by is None

    @property
    def is_given(self) -> bool:
        """Returns whether the sender names itself or its start."""
        has_name = self.metadata.answered_by is not None
        return has_name or self.started_ms is not None

    def is_of(
        self, upstream: Upstream, since_s: float, silence_s: float
    ) -> bool:
        """Returns whether the sender is an upstream, and since when.

        Args:
            upstream: The upstream, as known when a request was sent to it.
            since_s: Monotonic time at which it was sent.
            silence_s: Longest time without data within the reply to it.
        """
        if self.opened_s < since_s:
            return True
        name = self.metadata.answered_by
        if name is not None and name != upstream.upstream_id:
            return False
        if not upstream.started_ms:
            return name is not None
        if self.started_ms is not None:
            return self.started_ms == upstream.started_ms
        return name is not None and silence_s < RESTART_S


__all__ = ('Identity',)
