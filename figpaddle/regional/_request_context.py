"""The state of one request while an entry handles it."""

from __future__ import annotations

import dataclasses
import enum
import functools
import hashlib
from typing import TYPE_CHECKING

from figpaddle.deployment import GatewayRoute, GatewayService, Repeat, Workspace
from figpaddle.http1 import HttpClientConnection, HttpRequest, ResponseHead
from figpaddle.regional._dialect import BackendAnswer, CallerRequest
from figpaddle.routing import MIN_EVENTS, Demand, Process, QuotaCharge, RequestTraits

if TYPE_CHECKING:
    from figpaddle.regional._attempt import Attempt

#: Longest time that a request may wait for others, as a fraction of its latency target. A longer
#: queue would make all requests late under lasting overload, without serving more of them.
MAX_WAIT_FRACTION = 0.5
#: Longest time that a stream may wait for others when it is taken up, seconds. Its caller has the first
#: events, so the target no longer counts, and leaves after a gap of two seconds at the earliest.
MAX_TAKE_UP_WAIT_S = 1.6


class AttemptOutcome(enum.Enum):
    """How an attempt ended."""

    #: The caller got the whole answer.
    ANSWERED = "answered"
    #: Nothing was sent.
    NOT_SENT = "not_sent"
    #: The request was sent, and the backend server states that it did not run it.
    NOT_RUN = "not_run"
    #: The request was sent and may have run.
    UNKNOWN = "unknown"
    #: The answer was interrupted after its beginning was relayed to the caller.
    BROKEN = "broken"
    #: The server answered with a failure that the caller may not get, see ``RequestContext.withholds``.
    WITHHELD = "withheld"


@dataclasses.dataclass(frozen=True, kw_only=True)
class AttemptResult:
    """The result of an attempt."""

    outcome: AttemptOutcome
    #: Short description of the reason.
    reason: str
    #: Whether the attempt reached a backend server, so that another one counts as a retry.
    reached_backend: bool = True
    #: How many of the attempts that the request may use it has used.
    attempts_used: int = 1
    #: Whether the connection ended before a byte of the answer arrived.
    closed_unanswered: bool = False
    #: Whether the connection was lost, with or without a part of the answer.
    lost_connection: bool = False
    #: Whether only the end of the connection marked the end of a whole answer.
    ends_with_connection: bool = False
    #: Whether the answer exceeded a limit and was given up.
    too_large: bool = False
    #: Whether the answer was a failure of the request, which says nothing of the time of others.
    is_failure: bool = False
    #: Whether the reason is one of this entry, which says nothing of the backend server.
    own_cause: bool = False
    #: Status of an answer that callers take for a refusal, without a statement of its server that the
    #: request has not run; None for any other answer.
    unconfirmed_status: int | None = None

    @property
    def has_arrived(self) -> bool:
        """Whether the request reached a backend server, so that another attempt is a repeat."""
        return self.reached_backend and self.outcome is not AttemptOutcome.NOT_SENT

    @property
    def is_answer(self) -> bool:
        """Whether the caller got the whole answer."""
        return self.outcome is AttemptOutcome.ANSWERED

    @property
    def is_complete(self) -> bool:
        """Whether the server sent its whole answer, so that it outlived the request."""
        return self.is_answer or self.outcome is AttemptOutcome.WITHHELD


@dataclasses.dataclass(frozen=True, kw_only=True)
class FailureAnswer:
    """A failure that a backend server answered, kept while a retry may replace it."""

    answer: BackendAnswer
    body: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class TriedPlaces:
    """Where a request was sent up to a moment, by name."""

    backends: frozenset[str]
    regions: frozenset[str]
    entries: frozenset[str]


@dataclasses.dataclass(kw_only=True)
class RequestContext:
    """A request with the decisions about it and the progress of its attempts."""

    request: HttpRequest
    caller: CallerRequest
    #: The route as it applies to the workspace.
    route: GatewayRoute
    service: GatewayService
    #: Revision of the cluster state on which the decisions rest.
    revision: int
    #: Deadline of the final answer, seconds of the monotonic clock.
    deadline_at: float
    #: The workspace of which the caller had a key; None if it needed none.
    workspace: Workspace | None = None
    #: Region of the entry that forwarded the request; empty if it came from a caller.
    origin: str = ""
    #: Digest of the request at the entry that accepted it; empty if that is this one, or runs a build
    #: that doesn't state it.
    origin_digest: bytes = b""
    #: What its next or present attempt spends of the quota; None if it isn't charged.
    quota_charge: QuotaCharge | None = None
    #: Retry-After of the entry that refused it beyond the quota, seconds; None if none did.
    over_quota_s: float | None = None
    #: Attempts that may still run it.
    attempts_left: int = 1
    #: Attempts that backend servers refused before any may have run it.
    refusals: int = 0
    #: Digest by which it may have crashed a backend server: all requests with that digest go to one
    #: backend server of the region. None if it isn't suspect.
    confined_by: bytes | None = None
    #: Regions in which it may have crashed a backend server: no others get it while it is suspect.
    confined_regions: frozenset[str] = frozenset()
    #: Digest by which the entry that forwarded it takes it for suspect; None if it doesn't.
    stated_suspect: bytes | None = None
    #: Names of the backend servers tried.
    backends_tried: set[str] = dataclasses.field(default_factory=set)
    #: Other regions tried.
    regions_tried: set[str] = dataclasses.field(default_factory=set)
    #: Names of the entries that it was forwarded to.
    entries_tried: set[str] = dataclasses.field(default_factory=set)
    #: Id of the last event that the caller received; empty for none.
    last_event: str = ""
    #: Whether that was so when the request came: it goes on with a stream.
    goes_on: bool = False
    #: Version of the software that began the stream, at which alone it goes on: empty if that isn't
    #: known, None before its first event.
    version: str | None = None
    #: Whether the entry that forwarded it reads the version in the head of a stream.
    states_version: bool = False
    #: Attempts that the entry that forwarded it allowed, if it reads how many were used and takes up the
    #: stream itself once it has begun; None otherwise.
    attempts_allowed: int | None = None
    #: Key of the statements of further attempts in the stream; empty if the entry that forwarded it reads none.
    statement_key: bytes = b""
    #: Whether that entry reads interim responses with the attempts used.
    reads_interim: bool = False
    #: Whether that entry offers it elsewhere only in its turn, which each statement of a silence begins.
    takes_turns: bool = False
    #: Time until the end of its answer by what that entry has measured, seconds; 0 if it doesn't know.
    sender_answer_s: float = 0.0
    #: Whether that entry keeps it elsewhere until it is told that the request was sent to a backend server.
    is_offered: bool = False
    #: What the last one stated: the attempts used, and whether the server of the last one is silent. None
    #: before the first.
    informed: tuple[int, bool] | None = None
    #: Head of the answer that the caller got; None before.
    head: ResponseHead | None = None
    #: The last failure that a backend server answered; relayed if no retry succeeds.
    failure_answer: FailureAnswer | None = None
    #: Whether a backend server may have run the request.
    may_have_run: bool = False
    #: Whether it has arrived at a backend server, which may have refused it.
    has_arrived: bool = False
    #: Whether bytes of the present attempt were sent.
    is_sent: bool = False
    #: Process of a backend server whose connection the last attempt lost; None if it lost none.
    lost_process: Process | None = None
    #: Time to the first byte that placement expected of the present attempt, seconds.
    expected_s: float | None = None
    #: Time from sending the present attempt to the first byte of its answer, seconds; None before.
    first_byte_s: float | None = None
    #: When the answer to the caller was started, seconds of the monotonic clock; None before.
    answer_started_at: float | None = None
    #: Connections on which its attempts are in progress.
    connections: list[HttpClientConnection] = dataclasses.field(default_factory=list)
    #: When these were closed as the caller had left, seconds of the monotonic clock, and their number.
    abandoned_at: float | None = None
    abandoned_count: int = 0
    #: Events of a stream that the caller got.
    events: int = 0
    #: When the caller last got events of a stream, seconds of the monotonic clock; None before.
    last_event_at: float | None = None
    #: Longest time between events that the caller got, seconds; None before the second.
    longest_gap_s: float | None = None
    #: The next attempt, whose place has taken the request over from the present one; None if there is none.
    taker: Attempt | None = None
    #: Whether an attempt at a silent server ended as another place had taken the request over.
    left_silent_server: bool = False
    #: Its order among the waiting requests of a backend server, 0 first; None before it is placed.
    urgency: int | None = None
    #: Reason for which the last attempt failed.
    last_failure: str = ""
    #: Number of the last attempt that was begun, from 1; 0 before the first.
    attempt: int = 0

    def attempts_used(self, *, in_progress: bool) -> int | None:
        """Return the attempts to state to the entry that forwarded the request; None if it reads none.

        ``in_progress`` is whether the last one still counts among those left.
        """
        if self.attempts_allowed is None:
            return None
        return self.attempts_allowed - self.attempts_left + in_progress

    @property
    def request_id(self) -> str:
        """Identifier that the caller gave."""
        return self.caller.request_id

    @property
    def workspace_name(self) -> str:
        """Name of the workspace; empty for none."""
        return "" if self.workspace is None else self.workspace.name

    @property
    def attempt_key(self) -> str:
        """Identifier of the last attempt that was begun, within this process."""
        return f"{self.request_id}/{self.attempt}"

    @property
    def _events(self) -> int:
        if not self.route.streaming:
            return 0
        return self.caller.output_tokens // max(1, self.service.tokens_per_event)

    @property
    def _longest_pause_s(self) -> float:
        return self.route.gap_s if self._events >= MIN_EVENTS else 0.0

    @property
    def start_order(self) -> int:
        """Order in which a backend server starts it; the priority of its route before it is placed."""
        return self.route.priority if self.urgency is None else self.urgency

    @property
    def sender_decides_retries(self) -> bool:
        """Whether the entry that forwarded it alone decides on further attempts once its stream has begun."""
        return self.attempts_allowed is not None and not self.statement_key

    @property
    def forwarded(self) -> bool:
        """Whether the request was forwarded by an entry of another region."""
        return bool(self.origin)

    @property
    def can_wait(self) -> bool:
        """Whether it may be sent to no place for a while.

        It is at one, or ending it now would cost its caller what an attempt has begun. One that was forwarded
        is left to the other entry instead.
        """
        return self.is_sent or (self.may_have_run and not self.forwarded)

    @property
    def takes_up_stream(self) -> bool:
        """Whether it goes on with a stream whose version hasn't been looked up yet."""
        is_resumable = self.route.repeat is Repeat.RESUMABLE
        return is_resumable and bool(self.last_event) and self.version is None

    @property
    def max_wait_s(self) -> float:
        """Longest time that it may wait for other requests, seconds."""
        max_wait_s = MAX_WAIT_FRACTION * self.route.target_s
        return max(max_wait_s, MAX_TAKE_UP_WAIT_S) if self.last_event else max_wait_s

    def withholds(self, answer: BackendAnswer) -> bool:
        """Return whether the caller may not get an answer, which would have the request run twice.

        Its caller would take the status for the promise that the request has not run, and send it again.
        Where it may be repeated that does no harm, and the server's answer says more than one of the entry.
        """
        return self.route.repeat is Repeat.ONCE and answer.is_unconfirmed_refusal

    def tried_places(self) -> TriedPlaces:
        """Return where the request was sent so far."""
        return TriedPlaces(
            backends=frozenset(self.backends_tried),
            regions=frozenset(self.regions_tried),
            entries=frozenset(self.entries_tried),
        )

    def restore_tried(self, places: TriedPlaces) -> None:
        """Forget where the request was sent since ``places`` were returned."""
        self.backends_tried = set(places.backends)
        self.regions_tried = set(places.regions)
        self.entries_tried = set(places.entries)

    def withdraw_taker(self) -> None:
        """End the next attempt if a place has taken the request over and it isn't run."""
        taker, self.taker = self.taker, None
        if taker is not None:
            taker.withdraw()

    def abandon_connections(self, *, now: float) -> None:
        """Close the connections on which its attempts are in progress, as the caller has left."""
        self.abandoned_at, self.abandoned_count = now, len(self.connections)
        for connection in self.connections:
            connection.abandon()

    def note_events(self, count: int, *, now: float) -> None:
        """Record that the caller has got ``count`` events of a stream."""
        self.events += count
        if self.last_event_at is not None:
            self.longest_gap_s = max(self.longest_gap_s or 0.0, now - self.last_event_at)
        self.last_event_at = now

    def note_sending(self) -> None:
        """Record that the present attempt is about to be sent."""
        self.is_sent = True

    def remaining_s(self, *, now: float) -> float:
        """Return the time until the deadline, seconds; negative after it."""
        return self.deadline_at - now

    def demand(self, *, now: float) -> Demand:
        """Return the properties of the request that placement uses."""
        return Demand(
            request_id=self.request_id,
            member="",
            service=self.service.name,
            priority=self.start_order,
            deadline_s=self.remaining_s(now=now),
            prefixes=self.caller.prefixes,
            prompt_tokens=self.caller.prompt_tokens,
            output_tokens=self.caller.output_tokens,
            body_bytes=len(self.request.body),
            streamed=self.route.streaming,
            longest_pause_s=self._longest_pause_s,
            events=self._events,
            forwarded=self.forwarded,
        )

    @functools.cached_property
    def traits(self) -> RequestTraits:
        """What the request may share with others that crash backend servers.

        Digests include the caller's host, so that nothing is refused to one member for another's
        requests.
        """
        host = self.caller.host.encode()
        service = self.service.name.encode()
        return RequestTraits(
            member=self.caller.host,
            fingerprint=self.origin_digest or self._digest(host, service, self.request.caller),
            content=self._digest(host, service, ""),
            parts=tuple(_digest(host, service, part.encode()) for part in self.caller.shared_parts),
        )

    def _digest(self, host: bytes, service: bytes, caller: str) -> bytes:
        """Return a digest that identifies the request when it is sent again.

        It leaves out the query, which may differ each time. With ``caller``, an address that only the
        entry that accepted the request knows, it tells one caller's reads of a page from all others.
        """
        request = self.request
        method = b"GET" if request.method == b"HEAD" else request.method
        return _digest(host, service, method, request.path, caller.encode(), request.body)


def _digest(*fields: bytes) -> bytes:
    digest = hashlib.blake2b(digest_size=12)
    for field in fields:
        digest.update(len(field).to_bytes(4, "big") + field)
    return digest.digest()
