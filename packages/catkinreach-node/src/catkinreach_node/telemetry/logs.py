"""Log output: one line for each record, plain text or JSON."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from catkinreach_core.settings.node import LogSettings

_PLAIN_FORMAT = '{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level:<7} {message}'


def set_up_logs(settings: LogSettings) -> None:
    """Configures logging to standard error."""
    logger.remove()
    logger.add(
        sys.stderr,
        level=settings.level.upper(),
        format=_PLAIN_FORMAT,
        serialize=settings.is_json,
        backtrace=False,
        diagnose=False,
    )


__all__ = ('set_up_logs',)
