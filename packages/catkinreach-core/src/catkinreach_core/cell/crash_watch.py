"""Decides whether an engine whose connection was lost has crashed.

A disconnect alone is no crash: the engine may report the same boot id
afterwards. The prompts that ran on it wait until it reports a boot id or
refuses a connection.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .suspect_blocks import SuspectBlocks
from .suspects import CRASHES_TO_QUARANTINE, Crash, SuspectList

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..ids import FailureDomainId, UpstreamId
    from .placement_request import PlacementRequest

RESOLVE_TIMEOUT_S = 2.0
"""Time after a disconnect for which the prompts of the engine must wait.

After it they may run alone on other engines, even if the engine has not
answered.
"""

DISCONNECT_LIFETIME_S = 30.0
"""Time without an answer after which an unresolved disconnect is dropped."""

DOMAIN_LOSS_WINDOW_S = 2.0
"""Window in which the loss of several engines counts as a domain failure.

The engines are in one failure domain and ran no common prompt. Their losses are
not recorded as crashes.
"""


@dataclass(frozen=True, slots=True)
class RunningPrompt:
    """A prompt that ran on an engine when the connection was lost.

    Attributes:
        digest: Digest of the whole prompt.
        blocks: Keys of its prefix blocks.
        was_alone: Whether it ran alone as a suspect.
    """

    digest: str
    blocks: tuple[int, ...]
    was_alone: bool


@dataclass(slots=True)
class _Disconnect:
    """Lost connection to an engine.

    Attributes:
        domain_id: Failure domain of the engine.
        crash: The crash to record if the engine turns out to have crashed.
        at_s: When the connection was lost.
        prompts: The prompts that ran on the engine, by digest.
    """

    domain_id: FailureDomainId
    crash: Crash
    at_s: float
    prompts: dict[str, RunningPrompt] = field(default_factory=dict)


class CrashWatch:
    """Tracks unresolved disconnects and the prompts suspected of crashes."""

    def __init__(self) -> None:
        """Starts without disconnects."""
        self.suspects = SuspectList()
        self.blocks = SuspectBlocks()
        self._disconnects: dict[UpstreamId, _Disconnect] = {}
        self._recent_losses: list[_Disconnect] = []

    @property
    def unresolved(self) -> tuple[UpstreamId, ...]:
        """Returns the engines that disconnected and haven't answered since."""
        return tuple(self._disconnects)

    def must_refuse(self, request: PlacementRequest, now_s: float) -> bool:
        """Returns whether a prompt, or one of its blocks, crashes engines."""
        return self.suspects.is_quarantined(
            request.digest, now_s
        ) or self.blocks.must_refuse(request.blocks, now_s)

    def record_first_token(self, request: PlacementRequest) -> None:
        """Clears a prompt that reached its first token, and its blocks."""
        self.suspects.mark_proven(request.digest)
        self.blocks.clear(request.blocks)

    def must_wait(self, digest: str, now_s: float) -> bool:
        """Returns whether a prompt must wait until a disconnect is resolved.

        After ``RESOLVE_TIMEOUT_S`` it may run alone on another engine. If that
        engine disconnects too, the prompt waits until one of the two
        disconnects is resolved.
        """
        disconnects = [
            disconnect
            for disconnect in self._disconnects.values()
            if digest in disconnect.prompts
        ]
        if len(disconnects) >= CRASHES_TO_QUARANTINE:
            return True
        return any(
            now_s - disconnect.at_s <= RESOLVE_TIMEOUT_S
            for disconnect in disconnects
        )

    def is_suspect(self, digest: str, now_s: float) -> bool:
        """Returns whether a prompt must run alone."""
        return self.suspects.is_suspect(digest, now_s) or any(
            digest in disconnect.prompts
            for disconnect in self._disconnects.values()
        )

    def record_disconnect(
        self,
        crash: Crash,
        domain_id: FailureDomainId,
        prompts: Iterable[RunningPrompt],
        now_s: float,
    ) -> None:
        """Records a lost connection to an engine.

        Args:
            crash: The engine and its boot id before the disconnect.
            domain_id: The engine's failure domain.
            prompts: The prompts that ran on the engine.
            now_s: Monotonic clock.
        """
        disconnect = self._disconnects.setdefault(
            crash.upstream_id, _Disconnect(domain_id, crash, now_s)
        )
        for prompt in prompts:
            disconnect.prompts.setdefault(prompt.digest, prompt)

    def record_poll_answer(
        self, upstream_id: UpstreamId, boot: str, now_s: float
    ) -> None:
        """Resolves a disconnect; a changed boot id proves a crash."""
        disconnect = self._disconnects.pop(upstream_id, None)
        if disconnect is not None and boot != disconnect.crash.boot:
            self._record_crash(disconnect, now_s)

    def record_refused_connection(
        self, upstream_id: UpstreamId, now_s: float
    ) -> None:
        """Records a crash: nothing listens at the engine's address."""
        disconnect = self._disconnects.pop(upstream_id, None)
        if disconnect is not None:
            self._record_crash(disconnect, now_s)

    def expire(self, now_s: float) -> None:
        """Drops disconnects that were not resolved in time."""
        for upstream_id, disconnect in tuple(self._disconnects.items()):
            if now_s - disconnect.at_s > DISCONNECT_LIFETIME_S:
                del self._disconnects[upstream_id]

    def _record_crash(self, disconnect: _Disconnect, now_s: float) -> None:
        if self._is_domain_loss(disconnect, now_s):
            return
        prompts = tuple(disconnect.prompts.values())
        alone = tuple(prompt for prompt in prompts if prompt.was_alone)
        for prompt in alone or prompts:
            self.suspects.record_crash(
                prompt.digest,
                disconnect.crash,
                was_alone=prompt.was_alone,
                now_s=now_s,
            )
            self.blocks.record_crash(prompt.blocks, disconnect.crash, now_s)

    def _is_domain_loss(self, disconnect: _Disconnect, now_s: float) -> bool:
        """Returns whether the loss is part of a failure of its domain.

        Crashes already recorded for other engines of the domain within
        ``DOMAIN_LOSS_WINDOW_S`` are removed.
        """
        self._recent_losses = [
            earlier
            for earlier in self._recent_losses
            if now_s - earlier.at_s < DOMAIN_LOSS_WINDOW_S
        ]
        others = [
            earlier
            for earlier in self._recent_losses
            if earlier.domain_id == disconnect.domain_id
            and earlier.crash.upstream_id != disconnect.crash.upstream_id
            and not earlier.prompts.keys() & disconnect.prompts.keys()
        ]
        self._recent_losses.append(disconnect)
        for earlier in others:
            self.suspects.remove_crash(earlier.crash)
            self.blocks.remove_crash(earlier.crash)
        return bool(others)


__all__ = (
    'DOMAIN_LOSS_WINDOW_S',
    'RESOLVE_TIMEOUT_S',
    'CrashWatch',
    'RunningPrompt',
)
