"""Attempts that may have crashed their backend server."""

from __future__ import annotations

import collections
import dataclasses

#: Time for which an answer has to go on, or its backend server to run after it, until the request
#: is known not to have crashed that server, seconds. A crash follows the first tokens within a
#: fraction of it.
SETTLING_S = 1.0
#: Time for which an ended attempt is kept, seconds; longer than it takes to notice a crash.
ENDED_TTL_S = 4.0
#: Largest number of ended attempts kept.
MAX_ENDED_ATTEMPTS = 8192

#: A process of a backend server: its name and its incarnation.
Process = tuple[str, int]


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestTraits:
    """What a request may share with others that crash backend servers."""

    #: Member whose request it is.
    member: str
    #: Digest of the whole request, equal when it is sent again; empty if it can't be recognised.
    fingerprint: bytes
    #: Digests of those parts of its prompt that other prompts may have too.
    parts: tuple[bytes, ...]
    #: Digest of the whole request whoever sends it; empty if the fingerprint doesn't depend on that.
    content: bytes = b""

    @property
    def digests(self) -> tuple[bytes, ...]:
        """All that the request may share with others: its own digests, then those of its parts."""
        requests = (digest for digest in (self.fingerprint, self.content) if digest)
        return (*requests, *self.parts)


@dataclasses.dataclass(kw_only=True, slots=True)
class _Attempt:
    traits: RequestTraits
    process: Process
    sent_at: float
    began_at: float | None = None
    ended_at: float | None = None
    complete: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class SuspectedAttempt:
    """An attempt that hadn't settled when its backend server crashed."""

    traits: RequestTraits
    #: When it was sent, seconds.
    sent_at: float


class UnsettledAttempts:
    """Tracks the attempts at each process of a backend server until they settle.

    An attempt settles once its answer has gone on for ``SETTLING_S``, or once its process has run
    for that long after a complete answer. A request that crashes backend servers never settles.
    An attempt whose caller left is suspected too, as the process may have begun it.

    >>> attempts = UnsettledAttempts()
    >>> traits = RequestTraits(member="guide.example", fingerprint=b"f", parts=(b"p",))
    >>> attempts.note_sent("r1/1", traits, process=("e1", 7), now=0.0)
    >>> [suspect.traits.parts for suspect in attempts.take_lost(("e1", 7), lost_at=0.3)]
    [(b'p',)]
    """

    def __init__(self) -> None:
        self._open: dict[str, _Attempt] = {}
        self._ended: collections.deque[_Attempt] = collections.deque()

    def note_sent(self, key: str, traits: RequestTraits, *, process: Process, now: float) -> None:
        """Record that an attempt is being sent; ``key`` identifies it until it ends."""
        self._open[key] = _Attempt(traits=traits, process=process, sent_at=now)

    def note_progress(self, key: str, *, now: float) -> RequestTraits | None:
        """Record that bytes of the answer arrived; return the traits if the attempt settled."""
        attempt = self._open.get(key)
        if attempt is None:
            return None
        if attempt.began_at is None:
            attempt.began_at = now
        if now - attempt.began_at < SETTLING_S:
            return None
        del self._open[key]
        return attempt.traits

    def note_ended(self, key: str, *, complete: bool, now: float) -> None:
        """Record the end of an attempt; ``complete`` tells whether its whole answer arrived."""
        attempt = self._open.pop(key, None)
        if attempt is None:
            return
        attempt.ended_at = now
        attempt.complete = complete
        self._ended.append(attempt)
        if len(self._ended) > MAX_ENDED_ATTEMPTS:
            self._ended.popleft()

    def note_not_run(self, key: str) -> None:
        """Forget an attempt that the backend server states it hasn't run."""
        self._open.pop(key, None)

    def take_settled(self, *, now: float) -> list[RequestTraits]:
        """Return the traits of the complete answers that have settled; forget expired attempts."""
        settled: list[RequestTraits] = []
        while self._ended and self._ended_for_s(self._ended[0], now) >= ENDED_TTL_S:
            self._ended.popleft()
        for attempt in self._ended:
            if self._ended_for_s(attempt, now) < SETTLING_S:
                break
            if attempt.complete:
                settled.append(attempt.traits)
                attempt.complete = False
        return settled

    def take_lost(self, process: Process, *, lost_at: float) -> list[SuspectedAttempt]:
        """Return and forget the attempts at a process that hadn't settled when it was lost."""
        suspects = [attempt for attempt in self._open.values() if attempt.process == process]
        suspects += [
            attempt
            for attempt in self._ended
            if attempt.process == process and self._ended_for_s(attempt, lost_at) < SETTLING_S
        ]
        self._open = {
            key: attempt for key, attempt in self._open.items() if attempt.process != process
        }
        self._ended = collections.deque(
            attempt for attempt in self._ended if attempt.process != process
        )
        return [SuspectedAttempt(traits=item.traits, sent_at=item.sent_at) for item in suspects]

    @staticmethod
    def _ended_for_s(attempt: _Attempt, now: float) -> float:
        return 0.0 if attempt.ended_at is None else now - attempt.ended_at
