"""Messages common to all instances: handshake, instances, backend servers, forwarded requests."""

from __future__ import annotations

import dataclasses
import enum

from figpaddle.wire._codec import Message, message
from figpaddle.wire._placement_values import BackendState, PromptShape


class LinkPurpose(enum.Enum):
    """Traffic that a connection between two instances carries."""

    #: Small messages and their replies, multiplexed.
    CONTROL = "control"
    #: One forwarded request at a time.
    FORWARD = "forward"


class InstanceState(enum.Enum):
    """Whether an instance accepts new requests."""

    #: Accepts new requests.
    SERVING = "serving"
    #: Drains: finishes the requests in flight and accepts no new ones.
    LEAVING = "leaving"
    #: Has left or is considered dead.
    GONE = "gone"


@message("link.challenge")
@dataclasses.dataclass(frozen=True, kw_only=True)
class Challenge(Message):
    """First message of the accepting side: a nonce."""

    #: Random bytes that the dialling side's proof must cover.
    nonce: bytes


@message("link.hello")
@dataclasses.dataclass(frozen=True, kw_only=True)
class Hello(Message):
    """Response to a challenge; proves knowledge of the deployment key."""

    #: Name of the dialling instance.
    sender: str
    #: Traffic that the connection will carry.
    purpose: LinkPurpose
    #: Random bytes that the accepting side's proof must cover.
    nonce: bytes
    #: HMAC over both nonces, the sender's name and the purpose.
    proof: bytes


@message("link.welcome")
@dataclasses.dataclass(frozen=True, kw_only=True)
class Welcome(Message):
    """Proof of the accepting side, which completes the handshake."""

    #: Name of the accepting instance.
    sender: str
    #: HMAC over both nonces and the sender's name.
    proof: bytes


@message("link.refused")
@dataclasses.dataclass(frozen=True, kw_only=True)
class Refused(Message):
    """Error reply to the message with the same correlation number."""

    #: Class name of the error.
    error: str
    #: Description of the error.
    what: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class InstanceInfo:
    """Announcement of an instance about itself."""

    #: Unique name of the instance.
    name: str
    #: Region in which it runs.
    region: str
    #: Availability zone in which it runs.
    zone: str
    #: Address of its port for other instances, ``ip:port``.
    peer_address: str
    #: Address of its port for callers, ``ip:port``.
    caller_address: str
    #: Incremented by the instance at each start and to refute a suspicion.
    incarnation: int
    #: Whether it accepts new requests.
    state: InstanceState = InstanceState.SERVING

    def with_state(self, state: InstanceState) -> InstanceInfo:
        """Return a copy in ``state``."""
        return dataclasses.replace(self, state=state)


@dataclasses.dataclass(frozen=True, kw_only=True)
class CacheEvent:
    """A change of an engine's prefix cache."""

    #: Digest of the prefix.
    digest: int
    #: Whether the prefix was added; otherwise it was evicted.
    stored: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class BackendInfo:
    """Announcement of a backend server about itself."""

    #: Unique name of the backend server.
    name: str
    #: Its address, ``ip:port``.
    address: str
    #: Region in which it runs.
    region: str
    #: Availability zone in which it runs.
    zone: str
    #: Services that it runs, each as ``member/service``.
    services: tuple[str, ...]
    #: Incremented by the backend server at each start.
    incarnation: int
    #: Number of the announcement within the incarnation.
    sequence: int
    #: Whether it accepts new requests.
    state: BackendState = BackendState.SERVING
    #: Requests that it runs concurrently at full speed.
    slots: int = 8
    #: Requests running at the time of the announcement.
    running: int = 0
    #: Requests queued at the time of the announcement.
    waiting: int = 0
    #: Whether it rejects commands with an outdated fencing token.
    checks_fencing: bool = False
    #: Queued requests of priority class 0 at the time of the announcement.
    waiting_first: int = 0
    #: Prompt tokens waiting for prefill at the time of the announcement.
    prefill_tokens: int = 0
    #: Part of ``prefill_tokens`` processed before a new request of priority class 0.
    prefill_tokens_first: int = 0
    #: Number of the first of ``cache_events``, counted from the start of the backend server; a gap
    #: shows that events were lost.
    cache_sequence: int = 0
    #: Changes of the prefix cache since the previous announcement.
    cache_events: tuple[CacheEvent, ...] = ()


@message("backends.update")
@dataclasses.dataclass(frozen=True, kw_only=True)
class BackendsUpdate(Message):
    """Changed backend servers of the sender's region; sent only within the region."""

    #: Their latest announcements.
    backends: tuple[BackendInfo, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServiceSummary:
    """State of one service in one region."""

    #: Service as ``member/service``.
    service: str
    #: Number of backend servers that accept new requests.
    backends: int
    #: Their slots in total.
    slots: int
    #: Their running and queued requests in total.
    load: int
    #: Slots available to requests from other regions.
    room: int = 0


@message("backends.summary")
@dataclasses.dataclass(frozen=True, kw_only=True)
class RegionSummary(Message):
    """State of a region's services; sent to other regions."""

    #: The region.
    region: str
    #: One entry for each service.
    services: tuple[ServiceSummary, ...]


@message("forward.open")
@dataclasses.dataclass(frozen=True, kw_only=True)
class ForwardOpen(Message):
    """Head of a forwarded request."""

    #: Identifier of the request through all hops.
    request_id: str
    #: Member whose request it is.
    member: str
    #: Client whose request it is.
    client: str
    #: Service that it is for.
    service: str
    #: HTTP method.
    method: str
    #: Path and query at the backend server.
    target: str
    #: HTTP headers for the backend server, names in lower case.
    headers: tuple[tuple[str, str], ...]
    #: Instances that the request has passed through, in order.
    visited: tuple[str, ...]
    #: Number of region boundaries that it has crossed.
    crossings: int
    #: Time remaining until the first byte of the answer is due, seconds.
    deadline_s: float
    #: Revision of the configuration that the sender applied.
    configuration_revision: int
    #: Whether it may be sent to a backend server more than once.
    idempotent: bool
    #: Priority class within the member.
    priority: int
    #: Properties of its prompt.
    prompt: PromptShape = PromptShape()
    #: Whether it was sent to another region although its own region has the service.
    spilled: bool = False
    #: When it was sent, seconds of a clock of the sender that goes on while its machine is suspended;
    #: None if the sender doesn't state it.
    sent_at_s: float | None = None
    #: Number of the sending process's run; 0 if the sender doesn't state it.
    incarnation: int = 0


@message("forward.body")
@dataclasses.dataclass(frozen=True, kw_only=True)
class ForwardBody(Message):
    """A chunk of a request or response body."""

    #: The bytes; may be empty.
    data: bytes
    #: Whether the body ends here.
    last: bool


@message("forward.head")
@dataclasses.dataclass(frozen=True, kw_only=True)
class ForwardHead(Message):
    """Head of the answer to a forwarded request."""

    #: HTTP status of the backend server's answer.
    status: int
    #: HTTP headers of the answer.
    headers: tuple[tuple[str, str], ...]
    #: Backend server that answers.
    backend: str
    #: Instance that is connected to the backend server.
    instance: str
    #: Region in which the request is served.
    region: str
    #: Identifier of the request.
    request_id: str


@message("forward.failed")
@dataclasses.dataclass(frozen=True, kw_only=True)
class ForwardFailed(Message):
    """A forwarded request failed without an answer from the service."""

    #: HTTP status for the caller.
    status: int
    #: Problem type, see ``RequestError.problem``.
    problem: str
    #: Description of the failure.
    what: str
    #: Value of an ``Outcome``: whether the request may have run.
    outcome: str
    #: Delay before a retry, seconds; None if a retry is of no use.
    retry_after_s: float | None
