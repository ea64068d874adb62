"""Command-line flags that belong to one stand-in, not to the process."""

from __future__ import annotations

from absl import flags


def new_flag_values() -> flags.FlagValues:
    """Return an empty set of flags, apart from the global one."""
    return flags.FlagValues()  # type: ignore[no-untyped-call]


__all__ = ('new_flag_values',)
