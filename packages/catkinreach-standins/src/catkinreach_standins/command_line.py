"""Command-line flags of a stand-in, apart from absl's global flags."""

from __future__ import annotations

from absl import flags


def new_flag_values() -> flags.FlagValues:
    """Returns an empty set of flags, separate from the global one."""
    return flags.FlagValues()  # type: ignore[no-untyped-call]


__all__ = ('new_flag_values',)
