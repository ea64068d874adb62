"""Entry point of ``catkinreachd``."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import TYPE_CHECKING

from absl import app, flags

from catkinreach_core.errors import CatkinreachError
from catkinreach_core.settings import load_node

from .app import NodeApp
from .standard_streams import open_standard_streams
from .stop_signals import handled_stop_signals
from .telemetry.logs import set_up_logs

if TYPE_CHECKING:
    from collections.abc import Sequence

    from catkinreach_core.settings.node import NodeSettings

EXIT_OK = 0
EXIT_SETTINGS = 2

_SETTINGS = flags.DEFINE_string(
    'settings', None, 'INI file with the start-up settings.', required=True
)


def load_settings(path: Path) -> NodeSettings:
    """Reads the start-up settings."""
    return load_node(path.read_text(encoding='utf-8'), source=str(path))


async def run_node(settings: NodeSettings) -> None:
    """Runs a node; SIGTERM and SIGINT drain it."""
    node = NodeApp.from_settings(settings)
    with handled_stop_signals(node.drain):
        await node.run()


def _run(arguments: Sequence[str]) -> int:
    del arguments
    try:
        settings = load_settings(Path(_SETTINGS.value))
        set_up_logs(settings.logs)
        asyncio.run(run_node(settings))
    except (OSError, CatkinreachError) as error:
        sys.stderr.write(f'catkinreachd: {error}\n')
        return EXIT_SETTINGS
    return EXIT_OK


def main() -> None:
    """Runs ``catkinreachd``."""
    open_standard_streams()
    app.run(_run)


__all__ = ('load_settings', 'main', 'run_node')

if __name__ == '__main__':
    main()
