"""Background tasks whose errors end neither the process nor other tasks."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import anyio.abc

from figpaddle.telemetry import Log, MetricsRegistry

#: Delay before a service that has failed is run again, seconds; an error that repeats at once must not
#: take all processor time.
RESTART_DELAY_S = 0.1


class ContainedTasks:
    """Starts tasks in a task group, logs their errors, and keeps the other tasks running.

    What other processes send is checked where it is read. An error that it causes all the same costs one
    item, or one run of a service, but not the process.
    """

    def __init__(self, *, tasks: anyio.abc.TaskGroup, log: Log, metrics: MetricsRegistry) -> None:
        self._tasks = tasks
        self._log = log
        self._metrics = metrics

    def start_soon(self, function: Callable[..., Awaitable[Any]], *arguments: Any) -> None:
        """Start a task that may end."""
        self._tasks.start_soon(self._run, function, arguments)

    def start_service(self, function: Callable[..., Awaitable[Any]], *arguments: Any) -> None:
        """Start a task that runs as long as the process; it is run again after an error."""
        self._tasks.start_soon(self._keep_running, function, arguments)

    async def _run(
        self, function: Callable[..., Awaitable[Any]], arguments: tuple[Any, ...]
    ) -> bool:
        """Return whether the function has ended by itself."""
        try:
            await function(*arguments)
        except Exception:  # noqa: BLE001
            self._metrics.count("internal_errors_total")
            self._log.exception("task_failed", task=getattr(function, "__qualname__", ""))
            return False
        return True

    async def _keep_running(
        self, function: Callable[..., Awaitable[Any]], arguments: tuple[Any, ...]
    ) -> None:
        while not await self._run(function, arguments):
            await anyio.sleep(RESTART_DELAY_S)
