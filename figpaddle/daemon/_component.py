"""A part of the process with state of its own, run as a task beside the others."""

from __future__ import annotations

import abc
from typing import Any

import anyio


class Component(abc.ABC):
    """A part of the process: it registers its messages when made, then runs until cancelled."""

    @property
    @abc.abstractmethod
    def name(self) -> str:
        """Key of its part in the state dump."""

    @abc.abstractmethod
    def dump(self, *, now: float, member: str | None) -> Any:
        """Return its state for operators, without clients' data and keys.

        For an operator of one ``member``, what concerns other members is left out.
        """

    async def run(self) -> None:
        """Work until cancelled."""
        await anyio.sleep_forever()

    async def announce_leaving(self) -> None:
        """Tell others that the process leaves; called once at the start of a planned stop."""
        return

    async def announce_departure(self) -> None:
        """Tell others that the process has left; called when nothing is in progress any more."""
        return
