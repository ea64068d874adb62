"""Keeps the tasks of a process running after errors that nobody expected."""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from typing import TYPE_CHECKING, Any, Final, TypeVar

from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine, Iterator

    from .telemetry.metrics import ProcessMetrics

_Result = TypeVar('_Result')

RESTART_DELAY_S = 0.2
"""Pause before a task that failed goes on."""

BACKGROUND: Final = 'background'
"""Name, in log and metrics, of work that has no task of its own name."""


def _ignore_failure(name: str, error: BaseException) -> None:
    """Does nothing: log and metrics say all."""


class Supervisor:
    """Logs and counts unexpected errors of tasks, and lets them go on."""

    def __init__(
        self,
        metrics: ProcessMetrics,
        on_failure: Callable[[str, BaseException], None] = _ignore_failure,
    ) -> None:
        """Prepares the supervision of one process.

        Args:
            metrics: Count the errors.
            on_failure: Called for each error, with the name of the task.
        """
        self._metrics = metrics
        self._tasks: set[asyncio.Task[Any]] = set()
        self._on_failure = on_failure

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

    def run_in_background(
        self, work: Coroutine[None, None, _Result]
    ) -> asyncio.Task[_Result]:
        """Runs a coroutine that nobody need wait for."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._end_background)
        return task

    def _end_background(self, task: asyncio.Task[Any]) -> None:
        """Records an unexpected error of a task in the background."""
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            self.record(BACKGROUND, error)

    def record(self, name: str, error: BaseException) -> None:
        """Records an unexpected error of a task."""
        self._metrics.count_task_failure(name)
        self._on_failure(name, error)
        logger.opt(exception=error).error(
            '{}: unexpected error in a task.', name
        )

    def watch_loop(self, loop: asyncio.AbstractEventLoop) -> None:
        """Records errors of timers, and of tasks that nobody awaits."""
        loop.set_exception_handler(self._record_unhandled)

    def _record_unhandled(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        error = context.get('exception')
        if error is None:
            loop.default_exception_handler(context)
        else:
            self.record(BACKGROUND, error)


__all__ = ('BACKGROUND', 'Supervisor')
