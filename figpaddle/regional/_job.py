"""One caller's request on its way through an entry."""

from __future__ import annotations

import dataclasses
import enum
import hashlib

from figpaddle.deployment import GatewayRoute, GatewayService
from figpaddle.http1 import AnswerHead, HttpRequest
from figpaddle.regional._dialect import BackendAnswer, CallerRequest
from figpaddle.routing import Demand


class Fate(enum.Enum):
    """How an attempt to have a request served ended."""

    #: The caller has the whole answer.
    ANSWERED = "answered"
    #: Nothing was sent.
    NOT_SENT = "not_sent"
    #: It was sent, and the backend server says that it did not run it.
    NOT_RUN = "not_run"
    #: It was sent and may have run.
    UNKNOWN = "unknown"
    #: The caller has a part of the answer and can't be given the rest.
    BROKEN = "broken"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ending:
    """The end of an attempt."""

    fate: Fate
    #: Short name of the reason.
    reason: str
    #: Whether a backend server was reached, so that another attempt is a retry.
    reached: bool = True
    #: Whether the connection ended before a byte of an answer came.
    unanswered: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class SpareAnswer:
    """A backend server's failure that another's answer may replace."""

    answer: BackendAnswer
    body: bytes


@dataclasses.dataclass(kw_only=True)
class Job:
    """A request with all that is decided about it."""

    request: HttpRequest
    caller: CallerRequest
    route: GatewayRoute
    service: GatewayService
    #: Revision of the agreed state that decided.
    revision: int
    #: When the final answer is due, seconds of the steady clock.
    deadline_at: float
    #: Region of the entry that took it from the caller; empty for the own one.
    origin: str = ""
    #: Attempts that may still reach a backend server.
    attempts_left: int = 1
    #: Backend servers tried.
    tried: set[str] = dataclasses.field(default_factory=set)
    #: Regions that refused it.
    regions_tried: set[str] = dataclasses.field(default_factory=set)
    #: Last event that the caller has.
    last_event: str = ""
    #: Head of the answer that the caller got; None before.
    head: AnswerHead | None = None
    #: A backend server's own failure, to be passed on if nothing better comes.
    spare: SpareAnswer | None = None
    #: Whether a backend server may have run it.
    may_have_run: bool = False
    #: When the present attempt was sent, seconds of the steady clock.
    sent_at: float = 0.0
    #: When the answer began on its way to the caller, seconds of the steady clock; None before.
    first_at: float | None = None
    #: Reason for which the attempt before failed.
    last_failure: str = ""
    #: Number of the present attempt.
    attempt: int = 0

    @property
    def request_id(self) -> str:
        """Identifier that the caller gave."""
        return self.caller.request_id

    @property
    def key(self) -> str:
        """Identifier of the present attempt within this process."""
        return f"{self.request_id}/{self.attempt}"

    @property
    def forwarded(self) -> bool:
        """Whether it came from another region."""
        return bool(self.origin)

    def left_s(self, *, now: float) -> float:
        """Return the time left, seconds."""
        return self.deadline_at - now

    def demand(self, *, now: float) -> Demand:
        """Return what placement needs to know."""
        return Demand(
            request_id=self.request_id,
            member="",
            service=self.service.name,
            priority=self.route.priority,
            deadline_s=self.left_s(now=now),
            prefixes=self.caller.prefixes,
            prompt_tokens=self.caller.prompt_tokens,
            output_tokens=self.caller.output_tokens,
            body_bytes=len(self.request.body),
            streamed=self.route.streaming,
            forwarded=self.forwarded,
        )

    def fingerprint(self) -> bytes:
        """Return a digest by which the same request is known when it is sent again.

        Requests without a body are told apart by their callers too: many callers read the same.
        """
        digest = hashlib.blake2b(digest_size=12)
        caller = b"" if self.request.body else self.request.caller.encode()
        for part in (self.request.method, self.request.target, caller, self.request.body):
            digest.update(len(part).to_bytes(4, "big") + part)
        return digest.digest()
