"""Decides whether an engine whose connection was lost has crashed.

A disconnect alone is no crash: the engine may report the same boot id
afterwards. The prompts that ran on it wait until it reports a boot id or
refuses a connection.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .suspects import CRASHES_TO_QUARANTINE, Crash, SuspectList

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..ids import FailureDomainId, UpstreamId

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


@dataclass(slots=True)
class _Disconnect:
    """Lost connection to an engine.

    Attributes:
        domain_id: Failure domain of the engine.
        crash: The crash to record if the engine turns out to have crashed.
        at_s: When the connection was lost.
        prompts: Whether each prompt ran alone, by its digest.
    """

    domain_id: FailureDomainId
    crash: Crash
    at_s: float
    prompts: dict[str, bool] = field(default_factory=dict)


class CrashWatch:
    """Tracks unresolved disconnects and the prompts suspected of crashes."""

    def __init__(self) -> None:
        """Starts without disconnects."""
        self.suspects = SuspectList()
        self._disconnects: dict[UpstreamId, _Disconnect] = {}
        self._recent_losses: list[_Disconnect] = []

    @property
    def unresolved(self) -> tuple[UpstreamId, ...]:
        """Returns the engines that disconnected and haven't answered since."""
        return tuple(self._disconnects)

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
        prompts: Iterable[tuple[str, bool]],
        now_s: float,
    ) -> None:
        """Records a lost connection to an engine.

        Args:
            crash: The engine and its boot id before the disconnect.
            domain_id: The engine's failure domain.
            prompts: Digests of the prompts that ran on the engine, each with
                whether it ran alone as a suspect.
            now_s: Monotonic clock.
        """
        disconnect = self._disconnects.setdefault(
            crash.upstream_id, _Disconnect(domain_id, crash, now_s)
        )
        for digest, was_alone in prompts:
            disconnect.prompts.setdefault(digest, was_alone)

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
        alone_digests = {
            digest
            for digest, ran_alone in disconnect.prompts.items()
            if ran_alone
        }
        for digest in alone_digests or set(disconnect.prompts):
            self.suspects.record_crash(
                digest,
                disconnect.crash,
                was_alone=digest in alone_digests,
                now_s=now_s,
            )

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
        return bool(others)


__all__ = ('DOMAIN_LOSS_WINDOW_S', 'RESOLVE_TIMEOUT_S', 'CrashWatch')
