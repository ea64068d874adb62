"""When an engine crashes: cold and overloaded, or on a poisoned prompt."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .answer import block_digests, prompt_digest

if TYPE_CHECKING:
    from collections.abc import Sequence

    from .engine_messages import EngineFaults
    from .engine_options import EngineOptions


def is_cold(
    options: EngineOptions, faults: EngineFaults, completed_requests: int
) -> bool:
    """Returns whether an engine has done too little to bear full load."""
    is_fault = bool(faults.cold) and not options.warmup_requests
    return is_fault or completed_requests < options.warmup_requests


def poison_reason(
    options: EngineOptions, faults: EngineFaults, prompt: Sequence[int]
) -> str | None:
    """Returns why a prompt crashes the engine; ``None`` if it doesn't."""
    if options.poison_token in prompt:
        return 'poison token'
    digest = faults.crash_on_digest
    if digest is None:
        return None
    if digest == prompt_digest(prompt) or digest in block_digests(prompt):
        return 'poison digest'
    return None


__all__ = ('is_cold', 'poison_reason')
