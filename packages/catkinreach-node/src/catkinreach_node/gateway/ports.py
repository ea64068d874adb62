"""Ports of a gateway process, each opened as soon as it is free."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..port_wait import open_when_free
from .decision_log import Event

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from catkinreach_core.settings.node import Address

    from .decision_log import DecisionLog


class GatewayPort:
    """A port of the process; its log lines are those of a dependency."""

    def __init__(self, name: str, address: Address, log: DecisionLog) -> None:
        """Prepares a port that isn't open yet.

        Args:
            name: Name of the port in the log.
            address: Address of the port.
            log: Log of the process.
        """
        self._name = name
        self._address = address
        self._log = log

    async def open(self, open_port: Callable[[], Awaitable[None]]) -> None:
        """Opens the port; waits while another process holds it."""
        await open_when_free(open_port, self)

    def on_held(self, error: OSError) -> None:
        """Logs that the port can't be opened yet."""
        self._write(Event.DEPENDENCY_LOST, reason=str(error))

    def on_free(self) -> None:
        """Logs that the port is open now."""
        self._write(Event.DEPENDENCY_BACK)

    def _write(self, event: Event, **inputs: object) -> None:
        self._log.write(
            event,
            dependency=f'{self._name} port',
            address=str(self._address),
            **inputs,
        )


__all__ = ('GatewayPort',)
