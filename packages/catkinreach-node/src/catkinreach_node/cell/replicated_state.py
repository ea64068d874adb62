"""State of a cell that entry nodes keep for the cell's next owner."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import msgspec

from catkinreach_core.messages.cell import (
    QuarantinedPrompt,
    SuspectedBlock,
    SuspectedPrompt,
    WarmupProgress,
)

if TYPE_CHECKING:
    from collections.abc import Collection

    from catkinreach_core.ids import UpstreamId
    from catkinreach_core.messages.cell import (
        ReservationRenewal,
        ReservationRenewalReply,
    )


class ReplicatedState:
    """Warm engines, quarantined and suspected prompts of a cell.

    The owner's replies bring them; a renewal passes them on to a new owner.
    """

    def __init__(self) -> None:
        """Starts empty; the first renewal carries the state."""
        self._term = -1
        self._seen_version = 0
        self._is_full_renewal_due = True
        self._warm_engines: dict[UpstreamId, WarmupProgress] = {}
        self._quarantined: dict[str, float] = {}
        self._suspected: tuple[SuspectedPrompt, ...] = ()
        self._suspected_blocks: tuple[SuspectedBlock, ...] = ()

    @property
    def warm_engines(self) -> Collection[WarmupProgress]:
        """Returns the engines last reported as warm."""
        return self._warm_engines.values()

    def is_quarantined(self, digest: str) -> bool:
        """Returns whether requests with the prompt are refused."""
        return self._quarantined.get(digest, 0.0) > time.monotonic()

    def request_full_renewal(self) -> None:
        """Lets renewals carry the state until a reply of the same term."""
        self._is_full_renewal_due = True

    def add_to(self, renewal: ReservationRenewal) -> ReservationRenewal:
        """Returns the renewal with the version seen, and the state if due."""
        renewal = msgspec.structs.replace(renewal, seen=self._seen_version)
        if not self._is_full_renewal_due:
            return renewal
        now_s = time.monotonic()
        return msgspec.structs.replace(
            renewal,
            warm=tuple(self._warm_engines.values()),
            quarantined=tuple(
                QuarantinedPrompt(digest=digest, left_s=until_s - now_s)
                for digest, until_s in self._quarantined.items()
                if until_s > now_s
            ),
            suspected=self._suspected,
            suspected_blocks=self._suspected_blocks,
        )

    def apply_reply(self, reply: ReservationRenewalReply) -> None:
        """Stores the state in an owner's reply if its version is new."""
        self._is_full_renewal_due = reply.term != self._term
        if reply.term != self._term:
            previous_version = self._seen_version
            self._term, self._seen_version = reply.term, 0
            if previous_version:
                # The reply may lack the state: the renewal sent a version of
                # an earlier tenure, which this one may have reached too.
                return
        if reply.version == self._seen_version:
            return
        self._seen_version = reply.version
        self._warm_engines = {
            engine.upstream_id: engine for engine in reply.warm
        }
        self._suspected = reply.suspected
        self._suspected_blocks = reply.suspected_blocks
        self._update_quarantine(reply.quarantined)

    def _update_quarantine(
        self, quarantined: tuple[QuarantinedPrompt, ...]
    ) -> None:
        now_s = time.monotonic()
        for prompt in quarantined:
            self._quarantined[prompt.digest] = now_s + prompt.left_s
        for digest, until_s in tuple(self._quarantined.items()):
            if until_s <= now_s:
                del self._quarantined[digest]


__all__ = ('ReplicatedState',)
