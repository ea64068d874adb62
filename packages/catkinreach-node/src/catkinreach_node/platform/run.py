"""Entry point of a gateway process on a front VM."""

from __future__ import annotations

import asyncio
import signal
import sys
from typing import TYPE_CHECKING

from absl import app, flags
from loguru import logger

from catkinreach_core.errors import CatkinreachError

from ..gateway.app import GatewayApp
from ..gateway.decision_log import set_up_decision_log
from ..standard_streams import open_standard_streams
from ..stop_signals import handled_stop_signals
from .boot import BootFile
from .store import StoreClient
from .wire import PlatformDialect

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..gateway.settings import GatewaySettings

EXIT_OK = 0
EXIT_SETTINGS = 2

_METRICS_PORT = flags.DEFINE_integer(
    'metrics_port', 9464, 'TCP port of the metrics, on the address of the VM.'
)


async def run_gateway(boot: BootFile, settings: GatewaySettings) -> None:
    """Runs a gateway until SIGTERM or SIGINT, then drains it."""

    def reload() -> GatewaySettings | None:
        return (
            boot.read(settings.metrics_address.port)
            if boot.has_changed()
            else None
        )

    gateway = GatewayApp(
        settings,
        dialect=PlatformDialect(),
        feed=StoreClient(settings.store_address),
        reload=reload,
    )
    # Settings are polled; SIGHUP must not end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    with handled_stop_signals(gateway.stop):
        await gateway.run()


def _report_wait(error: Exception) -> None:
    logger.warning('the settings file is waited for: {}', error)


def _run(arguments: Sequence[str]) -> int:
    del arguments
    set_up_decision_log()
    try:
        boot = BootFile.from_environment()
        settings = boot.wait_and_read(_METRICS_PORT.value, _report_wait)
        asyncio.run(run_gateway(boot, settings))
    except (OSError, KeyError, CatkinreachError) as error:
        sys.stderr.write(f'catkinreachd: {error}\n')
        return EXIT_SETTINGS
    return EXIT_OK


def main() -> None:
    """Runs the gateway process."""
    open_standard_streams()
    app.run(_run)


__all__ = ('main', 'run_gateway')

if __name__ == '__main__':
    main()
