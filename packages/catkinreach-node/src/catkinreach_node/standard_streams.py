"""Makes sure that the standard streams of a process are open."""

from __future__ import annotations

import os
import sys

STDIN, STDOUT, STDERR = range(3)


def open_standard_streams() -> None:
    """Opens the null device in place of each standard stream that is closed.

    Otherwise a socket would take its descriptor, and output would go there.
    """
    for descriptor in (STDIN, STDOUT, STDERR):
        try:
            os.fstat(descriptor)
        except OSError:
            # The lowest free descriptor is the closed one.
            os.open(os.devnull, os.O_RDWR)
    if sys.stdout is None:
        sys.stdout = os.fdopen(STDOUT, 'w', closefd=False)
    if sys.stderr is None:
        sys.stderr = os.fdopen(STDERR, 'w', closefd=False)


__all__ = ('STDOUT', 'open_standard_streams')
