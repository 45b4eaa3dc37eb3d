"""Account of the bytes and connections that a process holds for its clients."""

from __future__ import annotations

import abc
import dataclasses
import enum
from collections.abc import Callable, Iterable

#: Time without progress after which a client may be refused in favour of another, seconds. Others that are
#: slow for a moment keep what they have sent.
STALL_S = 1.0
#: Bytes that count as progress of a message that hasn't ended; a client that sends one byte at a time
#: doesn't get on.
PROGRESS_BYTES = 16 * 1024
#: Bytes up to which a client may also use the reserve, so that ordinary requests find room beside
#: uploads that get on.
SMALL_BYTES = 64 * 1024
#: Size of the reserve, as a fraction of the limit.
RESERVE_FRACTION = 0.25


@dataclasses.dataclass(frozen=True, kw_only=True)
class ClientLimits:
    """What a process holds for all clients of all its ports together."""

    #: Bytes of requests and answers.
    held_bytes: int = 1 << 62
    #: Open connections.
    connections: int = 1 << 30


class ClientPhase(enum.IntEnum):
    """What a connection of a client waits for, in the order in which connections are closed."""

    #: For the client to close it, after a refusal.
    CLOSING = 0
    #: For the first request.
    FRESH = 1
    #: For the rest of a request.
    RECEIVING = 2
    #: For the client to read an answer.
    SENDING = 3
    #: For the next request.
    IDLE = 4
    #: For this process, which has the whole request.
    SERVING = 5


class HeldClient(abc.ABC):
    """A connection of a client that the account can end."""

    @abc.abstractmethod
    def end_for_others(self) -> None:
        """Refuse its request, if one isn't answered, and close it."""


@dataclasses.dataclass(kw_only=True)
class _Hold:
    phase: ClientPhase
    held_bytes: int
    #: When the client last got on, seconds.
    moved_at: float
    #: Bytes that have passed since then.
    passed_bytes: int = 0


class ClientAccount:
    """Decides which clients are refused once a process holds too much for all of them.

    Clients that have stalled go first, the one that has stalled for longest before the others. A request
    that was read as a whole is never given up. Where nobody has stalled, the client that needs more is
    refused, but a small one may use a reserve. ``on_ended`` is called with what was short each time that a
    client is refused or its connection closed.

    >>> account = ClientAccount(limits=ClientLimits(held_bytes=1000))
    >>> class Upload(HeldClient):
    ...     def end_for_others(self) -> None:
    ...         print("refused")
    >>> stalled, other = Upload(), Upload()
    >>> account.add(stalled, now=0.0)
    >>> account.hold(stalled, 900, now=0.0)
    True
    >>> account.add(other, now=2.0)
    >>> account.hold(other, 300, now=2.0)
    refused
    True
    """

    def __init__(
        self, *, limits: ClientLimits, on_ended: Callable[[str], None] = lambda short: None
    ) -> None:
        self._limits = limits
        self._on_ended = on_ended
        self._holds: dict[HeldClient, _Hold] = {}
        self._held_bytes = 0
        #: Nobody that holds bytes has stalled before this time; spares looking at all of them each time.
        self._none_stalled_before = float("-inf")

    @property
    def held_bytes(self) -> int:
        """Bytes that are held for all clients."""
        return self._held_bytes

    @property
    def connections(self) -> int:
        """Open connections of clients."""
        return len(self._holds)

    def add(self, client: HeldClient, *, now: float) -> None:
        """Add a connection that was accepted."""
        self._holds[client] = _Hold(phase=ClientPhase.FRESH, held_bytes=0, moved_at=now)

    def remove(self, client: HeldClient) -> None:
        """Remove a connection that is closed; does nothing if it was removed before."""
        hold = self._holds.pop(client, None)
        if hold is not None:
            self._held_bytes -= hold.held_bytes

    def has_room(self, *, now: float) -> bool:
        """Return whether another connection may be added; closes one that has stalled if need be."""
        while len(self._holds) >= self._limits.connections:
            stalled = self._stalled(self._holds, now=now)
            if not stalled:
                return False
            self._end(min(stalled, key=lambda item: self._connection_order(item)), "connections")
        return True

    def enter(self, client: HeldClient, phase: ClientPhase, *, now: float) -> None:
        """Record that a connection has got to another phase."""
        hold = self._holds.get(client)
        if hold is not None:
            hold.phase, hold.moved_at, hold.passed_bytes = phase, now, 0

    def note_passed(self, client: HeldClient, size: int, *, now: float) -> None:
        """Record that ``size`` bytes of a message have been received or sent."""
        hold = self._holds.get(client)
        if hold is None:
            return
        hold.passed_bytes += size
        if hold.passed_bytes >= PROGRESS_BYTES:
            hold.moved_at, hold.passed_bytes = now, 0

    def hold(self, client: HeldClient, held_bytes: int, *, now: float) -> bool:
        """Record how many bytes are held for a connection; return whether it may keep them.

        Ends others that have stalled if the limit is exceeded.
        """
        hold = self._holds.get(client)
        if hold is None:
            return False
        grows = held_bytes > hold.held_bytes
        self._held_bytes += held_bytes - hold.held_bytes
        hold.held_bytes = held_bytes
        if grows and self._held_bytes > self._limits.held_bytes:
            self._end_stalled(client, now=now)
        if not held_bytes or self._held_bytes <= self._limits.held_bytes:
            return True
        reserve = self._limits.held_bytes * RESERVE_FRACTION
        return held_bytes <= SMALL_BYTES and self._held_bytes <= self._limits.held_bytes + reserve

    def note_refused(self, short: str = "bytes") -> None:
        """Record that a request or connection was refused as ``hold`` or ``has_room`` has returned false."""
        self._on_ended(short)

    def _end_stalled(self, asking: HeldClient, *, now: float) -> None:
        """End stalled clients that hold bytes, the longest first, until the limit is kept."""
        if now < self._none_stalled_before:
            return
        holders = [client for client, hold in self._holds.items() if hold.held_bytes]
        stalled = self._stalled(holders, now=now)
        for client in sorted(stalled, key=lambda item: self._holds[item].moved_at):
            if self._held_bytes <= self._limits.held_bytes:
                return
            if client is not asking:
                self._end(client, "bytes")
        moved_at = [hold.moved_at for client, hold in self._holds.items() if client is not asking]
        self._none_stalled_before = min(moved_at, default=now) + STALL_S

    def _stalled(self, clients: Iterable[HeldClient], *, now: float) -> list[HeldClient]:
        return [
            client
            for client in clients
            if (hold := self._holds[client]).phase is not ClientPhase.SERVING
            and now - hold.moved_at >= STALL_S
        ]

    def _connection_order(self, client: HeldClient) -> tuple[ClientPhase, float]:
        hold = self._holds[client]
        return hold.phase, hold.moved_at

    def _end(self, client: HeldClient, short: str) -> None:
        self.remove(client)
        client.end_for_others()
        self._on_ended(short)
