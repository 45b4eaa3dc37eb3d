"""Whether an entry reaches backend servers at all."""

from __future__ import annotations

from collections.abc import Collection

#: Number of backend servers that must fail before an entry suspects its own connection; with fewer
#: known, all of them.
MIN_UNREACHED = 2
#: Time for which a failure counts, seconds; covers the timeouts of requests that were sent together.
UNREACHED_TTL_S = 3.0
#: Time without a byte from any backend server after which requests sent to several of them count as
#: failures, seconds; longer than most answers take to begin.
SILENCE_S = 0.8
#: Longest pause between bytes of a server that works, seconds; some events of a stream.
ALIVE_S = 0.5
#: Interval between checks, seconds: while the entry is cut off, and while it isn't.
CUT_CHECK_INTERVAL_S, CHECK_INTERVAL_S = 0.5, 1.0


class BackendContact:
    """Decides whether an entry is cut off from all backend servers of its region.

    Failures at several servers, with no sign of life from any, call for a check: new connections to
    some servers. Only a check that reaches none of them tells a cut from servers that fail by
    themselves.

    >>> contact = BackendContact()
    >>> contact.note_unreached("e1", now=0.0); contact.note_unreached("e2", now=0.1)
    >>> contact.needs_check(servers=["e1", "e2"], now=0.1)
    True
    >>> contact.note_check(servers=["e1", "e2"], reached=False, now=0.5)
    >>> contact.cut_off
    True
    """

    def __init__(self) -> None:
        #: Time of the last failure at each server since a byte came from it.
        self._unreached_at: dict[str, float] = {}
        #: Time of the first request to each server since a byte came from any.
        self._unanswered_since: dict[str, float] = {}
        self._cut_off_since: float | None = None
        self._kept_connections = False
        self._received_at = float("-inf")
        #: When bytes of an answer last came from each server.
        self._heard_at: dict[str, float] = {}
        #: Since when they have come without a pause.
        self._heard_since: dict[str, float] = {}
        self._checked_at = float("-inf")
        #: Servers that were known at the last check.
        self._known_at_check: frozenset[str] = frozenset()

    @property
    def cut_off(self) -> bool:
        """Whether the last check reached no backend server."""
        return self._cut_off_since is not None

    @property
    def keeps_connections(self) -> bool:
        """Whether open connections work though new ones aren't accepted."""
        return self._cut_off_since is not None and self._received_at > self._cut_off_since

    @property
    def kept_connections(self) -> bool:
        """Whether open connections worked during the last cut, which has ended."""
        return self._kept_connections

    def note_sent(self, name: str, *, now: float) -> None:
        """Record that a request is being sent to a server."""
        self._unanswered_since.setdefault(name, now)

    def note_received(self, name: str, *, now: float) -> None:
        """Record that bytes of an answer came from a server."""
        if now - self.heard_at(name) > ALIVE_S:
            self._heard_since[name] = now
        self._received_at = self._heard_at[name] = now
        self._unreached_at.pop(name, None)
        self._unanswered_since.clear()

    def heard_at(self, name: str) -> float:
        """Return when bytes of an answer last came from a server; minus infinity for never."""
        return self._heard_at.get(name, float("-inf"))

    def is_steady(self, name: str, *, now: float) -> bool:
        """Return whether bytes of answers have come from a server for some time without a pause.

        One that has just woken up from a silence isn't steady: others that were silent with it may follow.
        """
        is_alive = now - self.heard_at(name) <= ALIVE_S
        return is_alive and now - self._heard_since[name] >= ALIVE_S

    def forget(self, names: Collection[str]) -> None:
        """Forget servers that are gone."""
        for name in names:
            self._heard_at.pop(name, None)
            self._heard_since.pop(name, None)

    def note_unreached(self, name: str, *, now: float) -> None:
        """Record that a server didn't accept a connection or lost one."""
        self._unreached_at[name] = now

    def unchecked(self, servers: Collection[str]) -> set[str]:
        """Return those of ``servers`` that weren't known yet at the last check."""
        return set(servers) - self._known_at_check

    @property
    def has_signs(self) -> bool:
        """Whether anything speaks for a check; without that none is due, whatever servers there are."""
        return bool(self.cut_off or self._unreached_at or self._unanswered_since)

    def needs_check(self, *, servers: Collection[str], now: float) -> bool:
        """Return whether a check is due; ``servers`` are the servers of the region.

        A server that is new since the entry became cut off may have replaced the only one, whose
        crash looked like a cut, so it is checked at once.
        """
        if not servers:
            return False
        if self.cut_off:
            is_due = now - self._checked_at >= CUT_CHECK_INTERVAL_S
            return is_due or bool(self.unchecked(servers))
        if now - self._checked_at < CHECK_INTERVAL_S:
            return False
        failed = {
            name for name, at in self._unreached_at.items() if now - at <= UNREACHED_TTL_S
        } | {name for name, at in self._unanswered_since.items() if now - at >= SILENCE_S}
        return len(failed) >= min(MIN_UNREACHED, len(servers))

    def note_check(self, *, servers: Collection[str], reached: bool, now: float) -> None:
        """Record the result of a check that ends now and began when ``servers`` were known."""
        self._checked_at = now
        self._known_at_check = frozenset(servers)
        if reached:
            self._unreached_at.clear()
            self._unanswered_since.clear()
            self._kept_connections = self.keeps_connections
            self._cut_off_since = None
        elif self._cut_off_since is None:
            self._cut_off_since = now
