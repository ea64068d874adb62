"""From a broken connection to a verdict on the prompts that ran there.

A connection that breaks is no crash yet: the engine may have the same boot
id afterwards. The prompts that ran on it wait until that is known.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .suspects import CRASHES_TO_REFUSE, Crash, SuspectList

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..ids import FailureDomainId, UpstreamId

RESOLVE_LIMIT_S = 2.0
"""Silence of an engine after which its prompts may run elsewhere."""

FORGET_S = 30.0
"""Silence of an engine after which a break at it is forgotten."""

DOMAIN_LOSS_S = 2.0
"""Engines of a failure domain lost within it went with the domain."""


@dataclass(slots=True)
class _Break:
    domain_id: FailureDomainId
    crash: Crash
    at_s: float
    prompts: dict[str, bool] = field(default_factory=dict)


class CrashWatch:
    """Breaks that are not resolved, and the suspects of those that were."""

    def __init__(self) -> None:
        """Starts without a break."""
        self.suspects = SuspectList()
        self._breaks: dict[UpstreamId, _Break] = {}
        self._recent: list[_Break] = []

    @property
    def unresolved(self) -> tuple[UpstreamId, ...]:
        """Returns the engines whose state has to be found out."""
        return tuple(self._breaks)

    def must_wait(self, digest: str, now_s: float) -> bool:
        """Tells whether a prompt ran on an engine that may have crashed.

        After a while it may run elsewhere, alone; if that engine goes silent
        too, the prompt waits until one of them is found out about.
        """
        breaks = [one for one in self._breaks.values() if digest in one.prompts]
        if len(breaks) >= CRASHES_TO_REFUSE:
            return True
        return any(now_s - one.at_s <= RESOLVE_LIMIT_S for one in breaks)

    def is_suspect(self, digest: str, now_s: float) -> bool:
        """Tells whether a prompt must run alone."""
        return self.suspects.is_suspect(digest, now_s) or any(
            digest in one.prompts for one in self._breaks.values()
        )

    def broke(
        self,
        crash: Crash,
        domain_id: FailureDomainId,
        prompts: Iterable[tuple[str, bool]],
        now_s: float,
    ) -> None:
        """Takes a broken connection to an engine.

        Args:
            crash: The engine and its boot id before the break.
            domain_id: The engine's failure domain.
            prompts: Digests that ran there; True marks a lone suspect.
            now_s: Monotonic clock.
        """
        known = self._breaks.setdefault(
            crash.upstream_id, _Break(domain_id, crash, now_s)
        )
        for digest, was_alone in prompts:
            known.prompts.setdefault(digest, was_alone)

    def answered(
        self, upstream_id: UpstreamId, boot: str, now_s: float
    ) -> None:
        """Takes an answer of the engine after the break."""
        known = self._breaks.pop(upstream_id, None)
        if known is not None and boot != known.crash.boot:
            self._convict(known, now_s)

    def gone(self, upstream_id: UpstreamId, now_s: float) -> None:
        """Takes that nothing listens at the engine's address any more."""
        known = self._breaks.pop(upstream_id, None)
        if known is not None:
            self._convict(known, now_s)

    def expire(self, now_s: float) -> None:
        """Forgets breaks of engines that stayed silent."""
        for upstream_id, known in tuple(self._breaks.items()):
            if now_s - known.at_s > FORGET_S:
                del self._breaks[upstream_id]

    def _convict(self, known: _Break, now_s: float) -> None:
        if self._is_domain_loss(known, now_s):
            return
        lone = {digest for digest, alone in known.prompts.items() if alone}
        for digest in lone or set(known.prompts):
            self.suspects.crash(
                digest, known.crash, was_alone=digest in lone, now_s=now_s
            )

    def _is_domain_loss(self, known: _Break, now_s: float) -> bool:
        """Tells whether other engines of the domain went just before."""
        self._recent = [
            one for one in self._recent if now_s - one.at_s < DOMAIN_LOSS_S
        ]
        others = [
            one
            for one in self._recent
            if one.domain_id == known.domain_id
            and one.crash.upstream_id != known.crash.upstream_id
            and not one.prompts.keys() & known.prompts.keys()
        ]
        self._recent.append(known)
        for one in others:
            self.suspects.acquit(one.crash)
        return bool(others)


__all__ = ('DOMAIN_LOSS_S', 'RESOLVE_LIMIT_S', 'CrashWatch')
