"""What nodes tell each other about crashes and the requests suspected of them.

Clocks of nodes differ and may jump, so a report gives the age of each crash.
"""

from __future__ import annotations

from typing import Annotated, NewType

from msgspec import Meta, Struct

from .datagram_ranges import AgeMs

MAX_CRASHES_TOLD = 128
"""Most crashes in one report; a node tells fewer."""

MAX_KEYS_TOLD = 64
"""Most keys in one report; a node tells fewer."""

_CrashIndex = Annotated[int, Meta(ge=0, lt=MAX_CRASHES_TOLD)]

SuspectKey = NewType('SuspectKey', str)
"""Hash of a whole request or of one part of its prompt."""

CrashSource = NewType('CrashSource', int)
"""Hash that names what crashed, such as one incarnation of an upstream."""


class SeenCrash(Struct, array_like=True, frozen=True):
    """One crash.

    Attributes:
        source: What crashed.
        age_ms: Time since the crash, in milliseconds.
    """

    source: CrashSource
    age_ms: AgeMs


class SuspectReport(Struct, array_like=True, frozen=True):
    """What is known of one key.

    Attributes:
        crashes: Crashes of which the key is suspected, as positions in the
            list of the whole report.
        ran_ms_ago: Time since a request with the key last ran, in
            milliseconds; ``None`` if that isn't known.
    """

    crashes: Annotated[list[_CrashIndex], Meta(max_length=MAX_CRASHES_TOLD)]
    ran_ms_ago: AgeMs | None


class CrashReport(Struct, array_like=True, frozen=True):
    """Some of the keys that a node knows, and their crashes.

    Attributes:
        crashes: The crashes, each once.
        suspects: The keys.
        memory_ms: Time for which the node, or a peer that told it, has
            remembered crashes, in milliseconds.
    """

    crashes: Annotated[list[SeenCrash], Meta(max_length=MAX_CRASHES_TOLD)]
    suspects: Annotated[
        dict[SuspectKey, SuspectReport], Meta(max_length=MAX_KEYS_TOLD)
    ]
    memory_ms: AgeMs = 0

    @property
    def is_consistent(self) -> bool:
        """Returns whether each key has only crashes that are in the list."""
        count = len(self.crashes)
        return all(
            index < count
            for suspect in self.suspects.values()
            for index in suspect.crashes
        )


__all__ = (
    'CrashReport',
    'CrashSource',
    'SeenCrash',
    'SuspectKey',
    'SuspectReport',
)
