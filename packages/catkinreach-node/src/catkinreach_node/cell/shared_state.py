"""State of an owned cell that its owner shares with the entry nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from catkinreach_core.cell.suspects import Crash
from catkinreach_core.messages.cell import (
    QuarantinedPrompt,
    ReservationRenewalReply,
    SuspectedBlock,
    SuspectedPrompt,
    WarmupProgress,
)

if TYPE_CHECKING:
    from catkinreach_core.cell.cell import Cell
    from catkinreach_core.messages.cell import ReservationRenewal


class SharedState:
    """Numbers the versions of a cell's shared state in one tenure.

    Entry nodes keep the state, as ``ReplicatedState``, and bring it to the
    next owner.
    """

    def __init__(self, cell: Cell, term: int) -> None:
        """Starts before the first version."""
        self._cell = cell
        self._term = term
        self._last_comparable_state: object = None
        self._version = 0

    def merge(self, message: ReservationRenewal, now_s: float) -> None:
        """Adds the state that an entry node had from an earlier owner."""
        crashes = self._cell.crashes
        for prompt in message.quarantined:
            crashes.suspects.quarantine(prompt.digest, prompt.left_s, now_s)
        for suspected in message.suspected:
            crashes.suspects.record_crash(
                suspected.digest,
                Crash(suspected.upstream_id, suspected.boot),
                was_alone=False,
                now_s=now_s,
            )
        for suspected_block in message.suspected_blocks:
            crashes.blocks.record_crash(
                (suspected_block.block,),
                Crash(suspected_block.upstream_id, suspected_block.boot),
                now_s,
            )
        for engine in message.warm:
            view = self._cell.view(engine.upstream_id)
            if view is not None and view.boot in {'', engine.boot}:
                view.boot = engine.boot
                view.ramp.merge_completed(engine.completed)

    def make_reply(self, seen: int, now_s: float) -> ReservationRenewalReply:
        """Returns a reply with the state, if its version wasn't seen."""
        reply = self._full_reply(now_s)
        # Compared without the remaining times, which change on every call.
        comparable_state = (
            reply.warm,
            tuple(prompt.digest for prompt in reply.quarantined),
            reply.suspected,
            reply.suspected_blocks,
        )
        if comparable_state != self._last_comparable_state:
            self._last_comparable_state = comparable_state
            self._version += 1
        if seen == self._version:
            return ReservationRenewalReply(
                term=self._term, version=self._version
            )
        return msgspec.structs.replace(reply, version=self._version)

    def _full_reply(self, now_s: float) -> ReservationRenewalReply:
        suspects = self._cell.crashes.suspects
        return ReservationRenewalReply(
            term=self._term,
            warm=tuple(
                WarmupProgress(
                    upstream_id=view.upstream_id,
                    boot=view.boot,
                    completed=view.ramp.completed_up_to(view.upstream.places),
                )
                for view in self._cell.views
                if view.boot and view.ramp.completed
            ),
            quarantined=tuple(
                QuarantinedPrompt(digest=digest, left_s=left_s)
                for digest, left_s in suspects.quarantined(now_s).items()
            ),
            suspected=tuple(
                SuspectedPrompt(
                    digest=digest,
                    upstream_id=crash.upstream_id,
                    boot=crash.boot,
                )
                for digest, crash in suspects.suspicions()
            ),
            suspected_blocks=tuple(
                SuspectedBlock(
                    block=block,
                    upstream_id=crash.upstream_id,
                    boot=crash.boot,
                )
                for block, crash in self._cell.crashes.blocks.suspicions()
            ),
        )


__all__ = ('SharedState',)
