"""Messages that every instance understands: handshake, directory, backend servers, forwards."""

from __future__ import annotations

import dataclasses
import enum

from figpaddle.wire._codec import Message, message


class LinkPurpose(enum.Enum):
    """What a connection between two instances carries."""

    #: Small messages and their replies, many at once.
    CONTROL = "control"
    #: One forwarded request at a time.
    FORWARD = "forward"


class InstanceState(enum.Enum):
    """Whether an instance takes new work."""

    #: Takes new work.
    SERVING = "serving"
    #: Finishes what it has and takes nothing new.
    LEAVING = "leaving"
    #: Has left or is considered dead.
    GONE = "gone"


@message("link.challenge")
@dataclasses.dataclass(frozen=True, kw_only=True)
class Challenge(Message):
    """First message of the accepting side: a number used once."""

    #: Random bytes that the other side must authenticate.
    nonce: bytes


@message("link.hello")
@dataclasses.dataclass(frozen=True, kw_only=True)
class Hello(Message):
    """Answer to a challenge; proves knowledge of the deployment key."""

    #: Name of the dialling instance.
    sender: str
    #: What the connection is for.
    purpose: LinkPurpose
    #: Random bytes that the accepting side must authenticate.
    nonce: bytes
    #: Keyed digest over both nonces, the names and the purpose.
    proof: bytes


@message("link.welcome")
@dataclasses.dataclass(frozen=True, kw_only=True)
class Welcome(Message):
    """Proof of the accepting side; the link is open after it."""

    #: Name of the accepting instance.
    sender: str
    #: Keyed digest over both nonces and the names.
    proof: bytes


@message("link.refused")
@dataclasses.dataclass(frozen=True, kw_only=True)
class Refused(Message):
    """A typed refusal of the message with the same correlation."""

    #: Class name of the failure.
    error: str
    #: What was wrong.
    what: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class InstanceInfo:
    """What instances tell each other of themselves."""

    #: Unique name of the instance.
    name: str
    #: Region it stands in.
    region: str
    #: Availability zone it stands in.
    zone: str
    #: Address of its peer port, ``ip:port``.
    peer_address: str
    #: Address of its callers' port, ``ip:port``.
    caller_address: str
    #: Raised by the instance itself at each start and to refute a suspicion.
    incarnation: int
    #: Whether it takes new work.
    state: InstanceState = InstanceState.SERVING

    def with_state(self, state: InstanceState) -> InstanceInfo:
        """Return a copy in ``state``."""
        return dataclasses.replace(self, state=state)


class BackendState(enum.Enum):
    """Whether a backend server takes new work."""

    #: Takes new work.
    SERVING = "serving"
    #: Takes no new work and will go.
    LEAVING = "leaving"
    #: Has left; nothing may be sent to it.
    GONE = "gone"


@dataclasses.dataclass(frozen=True, kw_only=True)
class CacheEvent:
    """A change of an engine's prefix cache."""

    #: Digest of the prefix.
    digest: int
    #: Whether it was stored; otherwise it was evicted.
    stored: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class BackendInfo:
    """What a backend server announces of itself."""

    #: Unique name of the backend server.
    name: str
    #: Its address, ``ip:port``.
    address: str
    #: Region it stands in.
    region: str
    #: Availability zone it stands in.
    zone: str
    #: Services that it runs, each as ``member/service``.
    services: tuple[str, ...]
    #: Raised by the backend server at each start.
    incarnation: int
    #: Number of the announcement within the incarnation.
    sequence: int
    #: Whether it takes new work.
    state: BackendState = BackendState.SERVING
    #: Requests it runs at once at full speed.
    slots: int = 8
    #: Reported requests in progress, as of the announcement.
    running: int = 0
    #: Reported requests waiting, as of the announcement.
    waiting: int = 0
    #: Whether it refuses orders under an old fencing number.
    checks_fencing: bool = False
    #: Reported requests waiting in priority class 0, as of the announcement.
    waiting_first: int = 0
    #: Prompt tokens that it had still to process, as of the announcement.
    prefill_tokens: int = 0
    #: Those of them that a new request of priority class 0 would wait for.
    prefill_tokens_first: int = 0
    #: Number of the first of ``cache_events`` since the start; a jump tells of lost ones.
    cache_sequence: int = 0
    #: Changes of the prefix cache since the last announcement.
    cache_events: tuple[CacheEvent, ...] = ()


@message("backends.update")
@dataclasses.dataclass(frozen=True, kw_only=True)
class BackendsUpdate(Message):
    """Backend servers of the sender's region that changed; sent within the region."""

    #: Latest announcements.
    backends: tuple[BackendInfo, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServiceSummary:
    """State of one service in one region."""

    #: Service as ``member/service``.
    service: str
    #: Backend servers that take new work.
    backends: int
    #: Their slots in all.
    slots: int
    #: Their requests running and waiting in all.
    load: int
    #: Slots that work from other regions may take.
    room: int = 0


@message("backends.summary")
@dataclasses.dataclass(frozen=True, kw_only=True)
class RegionSummary(Message):
    """State of a region's services; sent to other regions."""

    #: The region.
    region: str
    #: One entry a service.
    services: tuple[ServiceSummary, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Prefix:
    """A prefix of a prompt."""

    #: Digest of the prefix.
    digest: int
    #: Its length, tokens.
    tokens: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class PromptShape:
    """What placement may know of a prompt."""

    #: Prefixes of the prompt, shortest first.
    prefixes: tuple[Prefix, ...] = ()
    #: Length of the prompt, tokens.
    tokens: int = 0
    #: Tokens that the answer is expected to have.
    output_tokens: int = 0
    #: Size of the request, bytes.
    body_bytes: int = 0
    #: Whether the answer comes token by token.
    streamed: bool = False


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
    #: Service that it asks for.
    service: str
    #: HTTP method.
    method: str
    #: Path and query at the backend server.
    target: str
    #: HTTP headers for the backend server, names in lower case.
    headers: tuple[tuple[str, str], ...]
    #: Instances that the request has passed, in order.
    visited: tuple[str, ...]
    #: How often it has crossed regions.
    crossings: int
    #: Time left to the first byte of the answer, seconds.
    deadline_s: float
    #: Revision of the configuration that the sender decided by.
    configuration_revision: int
    #: Whether it may be sent to a backend server more than once.
    idempotent: bool
    #: Priority class within the member.
    priority: int
    #: What placement may know of its prompt.
    prompt: PromptShape = PromptShape()
    #: Whether it left a region that has the service itself.
    spilled: bool = False


@message("forward.body")
@dataclasses.dataclass(frozen=True, kw_only=True)
class ForwardBody(Message):
    """A piece of a body, in either direction."""

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
    #: Instance that talks to the backend server.
    instance: str
    #: Region that the request is served in.
    region: str
    #: Identifier of the request that this answers.
    request_id: str


@message("forward.failed")
@dataclasses.dataclass(frozen=True, kw_only=True)
class ForwardFailed(Message):
    """A forwarded request ended without the service's own answer."""

    #: HTTP status for the caller.
    status: int
    #: Short name of the failure.
    problem: str
    #: What went wrong.
    what: str
    #: Value of the outcome.
    outcome: str
    #: Seconds after which to come back; None where it makes no sense.
    retry_after_s: float | None
