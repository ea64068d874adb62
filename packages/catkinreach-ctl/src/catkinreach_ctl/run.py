"""Entry point of ``catkinreach``."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING

from absl import app

from catkinreach_core.errors import CatkinreachError
from catkinreach_core.ids import Revision
from catkinreach_core.settings import load_fleet

if TYPE_CHECKING:
    from collections.abc import Sequence

EXIT_OK = 0
EXIT_USAGE = 1
EXIT_SETTINGS = 2
_CHECK_ARGUMENTS = 3


def check_fleet(path: Path) -> int:
    """Prints every fault of a fleet's text; returns the exit code."""
    try:
        load_fleet(
            path.read_text(encoding='utf-8'),
            revision=Revision(1),
            source=str(path),
        )
    except (OSError, CatkinreachError) as error:
        sys.stderr.write(f'{error}\n')
        return EXIT_SETTINGS
    sys.stdout.write(f'{path}: no faults\n')
    return EXIT_OK


def _run(arguments: Sequence[str]) -> int:
    if len(arguments) != _CHECK_ARGUMENTS or arguments[1] != 'check':
        sys.stderr.write('usage: catkinreach check FILE\n')
        return EXIT_USAGE
    return check_fleet(Path(arguments[2]))


def main() -> None:
    """Runs the binary."""
    app.run(_run)


__all__ = ('check_fleet', 'main')
