"""Runs a case and turns its outcome into an exit code."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
import traceback
from pathlib import Path
from typing import TYPE_CHECKING

from .record import Record

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

MAX_RUN_S = 110.0
EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2


class CannotRunError(Exception):
    """The case could not be brought about."""


def has_trouble() -> bool:
    """Returns whether the case runs with its disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


def run_case(
    case: Callable[[Record, Path], Awaitable[str]], folder: Path
) -> None:
    """Runs a case; ends the process with its exit code.

    Args:
        case: Returns how the rule was broken, nothing if it held. It gets the
            record and a temporary folder.
        folder: Folder of the case.
    """
    record = Record(folder)
    record.note('with the disruption' if has_trouble() else 'TROUBLE=0')
    code = EXIT_NOT_RUN
    try:
        broken = asyncio.run(_run(case, record))
        code = EXIT_BROKEN if broken else EXIT_HELD
        record.note(f'rule broken: {broken}' if broken else 'rule held')
    except (CannotRunError, TimeoutError, OSError) as error:
        record.note(f'could not run: {type(error).__name__} {error}')
    except asyncio.CancelledError:
        record.note('could not run: ended by a signal')
    except Exception:  # noqa: BLE001 - any other error is no verdict either
        record.note(f'could not run: {traceback.format_exc()}')
    finally:
        record.save()
    sys.exit(code)


async def _run(
    case: Callable[[Record, Path], Awaitable[str]], record: Record
) -> str:
    task = asyncio.current_task()
    if task is not None:
        # What the case has started ends with it.
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
    with tempfile.TemporaryDirectory() as name:
        async with asyncio.timeout(MAX_RUN_S):
            return await case(record, Path(name))
