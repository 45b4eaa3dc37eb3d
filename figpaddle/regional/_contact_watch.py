"""Checks whether this entry reaches the backend servers of its region."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection

import anyio
import anyio.abc

from figpaddle.errors import ConnectFailedError
from figpaddle.http1 import connect
from figpaddle.regional._wake_ups import sleep_until_shared
from figpaddle.routing import BackendContact
from figpaddle.telemetry import Log, MetricsRegistry

#: Number of backend servers to which a check connects.
CHECKED_SERVERS = 3
#: Time within which a live backend server accepts a connection, seconds.
CHECK_TIMEOUT_S = 0.4
#: Time for which a connection must stay open in a check, seconds. A firewall or load balancer between the
#: two may accept a connection and close it, and a busy one does so late.
CHECK_HOLD_S = 0.3
#: The same where the verdict on a crash waits for it, seconds.
CONFIRM_HOLD_S = 0.1
#: Interval at which the watch looks whether a check is due, seconds.
WATCH_INTERVAL_S = 0.1


class ContactWatch:
    """Runs the checks that ``BackendContact`` calls for.

    ``addresses`` returns the addresses of the backend servers of the region by name, those in backoff
    included. ``on_change`` is called when the entry becomes cut off, and when it no longer is.
    """

    def __init__(
        self,
        *,
        contact: BackendContact,
        addresses: Callable[[], dict[str, str]],
        on_change: Callable[[], None],
        rng: random.Random,
        clock: Callable[[], float],
        log: Log,
        metrics: MetricsRegistry,
    ) -> None:
        self._contact = contact
        self._addresses = addresses
        self._on_change = on_change
        self._rng = rng
        self._clock = clock
        self._log = log
        self._metrics = metrics

    async def run(self) -> None:
        """Check whenever a check is due, until cancelled."""
        while True:
            if self._contact.has_signs:
                addresses = self._addresses()
                if self._contact.needs_check(servers=addresses, now=self._clock()):
                    await self._check(addresses)
            await sleep_until_shared(WATCH_INTERVAL_S)

    async def reaches_others(self, excluded: Collection[str]) -> bool:
        """Return whether a backend server that isn't ``excluded`` accepts a connection now.

        True if there is none: a region whose only server fails doesn't look cut off.
        """
        addresses = {
            name: address for name, address in self._addresses().items() if name not in excluded
        }
        if not addresses:
            return True
        if self._contact.cut_off:
            return False
        return await self._reaches_any(addresses, hold_s=CONFIRM_HOLD_S)

    async def _check(self, addresses: dict[str, str]) -> None:
        was_cut_off = self._contact.cut_off
        reached = await self._reaches_any(addresses, hold_s=CHECK_HOLD_S)
        self._contact.note_check(servers=addresses, reached=reached, now=self._clock())
        self._metrics.count("contact_checks_total", reached=str(reached))
        if self._contact.cut_off != was_cut_off:
            write = self._log.warning if self._contact.cut_off else self._log.info
            write("backend_contact", cut_off=self._contact.cut_off, servers=len(addresses))
            self._on_change()

    async def _reaches_any(self, addresses: dict[str, str], *, hold_s: float) -> bool:
        """Return whether one of a few servers accepts and keeps a connection.

        They are drawn at random, those that are new since the last check first.
        """
        unchecked = self._contact.unchecked(addresses)
        names = self._rng.sample(sorted(addresses), len(addresses))
        names = sorted(names, key=lambda name: name not in unchecked)[:CHECKED_SERVERS]
        reached = False
        async with anyio.create_task_group() as tasks:

            async def check(address: str) -> None:
                nonlocal reached
                if await _accepts_connections(address, hold_s=hold_s):
                    reached = True
                    tasks.cancel_scope.cancel()

            for name in names:
                tasks.start_soon(check, addresses[name])
        return reached


async def _accepts_connections(address: str, *, hold_s: float) -> bool:
    try:
        channel = await connect(
            address, timeout_s=CHECK_TIMEOUT_S, ack_timeout_s=CHECK_TIMEOUT_S + hold_s
        )
    except ConnectFailedError:
        return False
    try:
        with anyio.move_on_after(hold_s):
            await channel.wait_for_peer_close()
        return channel.peer_close is None
    finally:
        channel.close()
