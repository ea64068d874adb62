"""Keeps the tasks of a process running after errors that nobody expected."""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from typing import TYPE_CHECKING

from loguru import logger

from .decision_log import Event

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterator

    from .decision_log import DecisionLog
    from .gateway_metrics import GatewayMetrics

RESTART_DELAY_S = 0.2
"""Pause before a task that failed goes on."""


class Supervisor:
    """Logs and counts unexpected errors of tasks, and lets them go on."""

    def __init__(self, log: DecisionLog, metrics: GatewayMetrics) -> None:
        """Prepares the supervision of one process."""
        self._log = log
        self._metrics = metrics

    async def keep_running(
        self, name: str, work: Callable[[], Awaitable[None]]
    ) -> None:
        """Runs a task until it returns or is cancelled, again if it fails."""
        is_done = False
        while not is_done:
            with self.guard(name):
                await work()
                is_done = True
            if not is_done:
                await asyncio.sleep(RESTART_DELAY_S)

    @contextmanager
    def guard(self, name: str) -> Iterator[None]:
        """Records an unexpected error within the context, and ends it there.

        Args:
            name: Name of the task in log and metrics.
        """
        try:
            yield
        except Exception as error:  # noqa: BLE001 - the process must go on
            self.record(name, error)

    def record(self, name: str, error: BaseException) -> None:
        """Records an unexpected error of a task."""
        self._metrics.count_task_failure(name)
        self._log.write(
            Event.TASK_FAILED,
            task=name,
            reason=f'{type(error).__name__}: {error}',
        )
        logger.opt(exception=error).error('unexpected error in a task')


__all__ = ('Supervisor',)
