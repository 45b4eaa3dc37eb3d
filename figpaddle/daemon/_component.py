"""Base class of the components that run as concurrent tasks of the process."""

from __future__ import annotations

import abc
from typing import Any

import anyio


class Component(abc.ABC):
    """A long-running task with state of its own.

    The constructor registers the handlers of its messages; ``run`` works until it is cancelled.
    """

    @property
    @abc.abstractmethod
    def name(self) -> str:
        """Key of the component's section in the state dump."""

    @abc.abstractmethod
    def dump(self, *, now: float, member: str | None) -> Any:
        """Return the state shown to operators, without data and keys of clients.

        If ``member`` is given, the state of other members is left out.
        """

    async def run(self) -> None:
        """Run until cancelled."""
        await anyio.sleep_forever()

    async def announce_leaving(self) -> None:
        """Announce to other instances that a planned stop has begun; called once."""
        return

    async def announce_departure(self) -> None:
        """Announce to other instances that this one has left; called once after the drain."""
        return
