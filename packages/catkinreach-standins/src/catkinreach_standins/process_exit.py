"""Ends a stand-in's process as a crash would."""

from __future__ import annotations

import os

from loguru import logger

CRASH_EXIT_CODE = 3
"""Exit status of the process after a simulated crash."""


def crash_process(reason: str) -> None:
    """Ends the process immediately, without cleanup."""
    logger.error('crash: {}', reason)
    os._exit(CRASH_EXIT_CODE)


__all__ = ('CRASH_EXIT_CODE', 'crash_process')
