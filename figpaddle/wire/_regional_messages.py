"""Messages between the entries and the control instances of a deployment."""

from __future__ import annotations

import dataclasses
import enum

from figpaddle.wire._codec import Message, message
from figpaddle.wire._messages import BackendState


class InstanceRole(enum.Enum):
    """What an instance does."""

    #: Takes requests of callers.
    ENTRY = "entry"
    #: Keeps durable state; takes calls of operators and backend servers.
    CONTROL = "control"


class Readiness(enum.Enum):
    """Whether an entry wants new callers."""

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, kw_only=True)
class BackendWork:
    """Work of one entry at one backend server."""

    #: Backend server.
    backend: str
    #: Requests in progress.
    requests: int
    #: Memory that they take, tokens.
    tokens: int
    #: Prompt tokens of requests whose answer hasn't begun.
    prefill: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class RegionalLoad:
    """How busy the sender's region is with one service."""

    #: Service.
    service: str
    #: Backend servers in use.
    backends: int
    #: Time to the first token that a request of mean size would meet now, seconds.
    expected_s: float
    #: Requests that could be taken now without waiting.
    room: int


@message("regional.heartbeat")
@dataclasses.dataclass(frozen=True, kw_only=True)
class InstanceHeartbeat(Message):
    """Sent by each instance to all others, several times a second."""

    #: Name of the sender, its IP address.
    name: str
    #: Start of the sender's process, milliseconds of Unix time.
    incarnation: int
    #: Grows with each heartbeat.
    sequence: int
    role: InstanceRole
    region: str
    zone: str
    #: Where callers reach it; empty for a control instance.
    caller_address: str
    readiness: Readiness
    #: Time since it was told to stop, seconds; 0 where it wasn't.
    stopping_s: float
    #: Revision of the cluster state that it holds.
    revision: int
    #: Whether it takes part in the first start of the deployment.
    founding: bool
    #: Own work at the backend servers of the region.
    work: tuple[BackendWork, ...]
    #: How busy the region is, as this entry sees it.
    loads: tuple[RegionalLoad, ...]
    #: Some other instances, so that everybody becomes known to everybody.
    acquaintances: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class BackendRecord:
    """The newest that a backend server said of itself."""

    #: Name of this start of the backend server.
    name: str
    #: Its start, milliseconds of Unix time.
    born: int
    #: Grows with each call of one start.
    sequence: int
    service: str
    address: str
    zone: str
    state: BackendState
    #: Requests that it processes at once.
    slots: int
    #: For how long it stays slow, counted from when it said so, seconds.
    warmup_s: float
    #: Age of this record, seconds.
    age_s: float


@message("regional.backends")
@dataclasses.dataclass(frozen=True, kw_only=True)
class BackendNews(Message):
    """Records of backend servers that changed or were confirmed."""

    #: The records.
    records: tuple[BackendRecord, ...]


@message("regional.suspect")
@dataclasses.dataclass(frozen=True, kw_only=True)
class CrashReport(Message):
    """A backend server was lost while it ran a request."""

    #: Fingerprint of the request.
    fingerprint: bytes
    #: The backend server.
    backend: str
    #: Its start, milliseconds of Unix time.
    born: int
    #: Time since the request was sent, seconds.
    sent_age_s: float


@message("regional.prepare")
@dataclasses.dataclass(frozen=True, kw_only=True)
class PrepareRequest(Message):
    """Asks a voter for a promise."""

    ballot: tuple[int, str]


@message("regional.promise")
@dataclasses.dataclass(frozen=True, kw_only=True)
class PrepareReply(Message):
    """A voter's promise or refusal."""

    voter: str
    incarnation: str
    granted: bool
    promised: tuple[int, str]
    accepted: tuple[int, str]
    value: bytes


@message("regional.accept")
@dataclasses.dataclass(frozen=True, kw_only=True)
class AcceptRequest(Message):
    """Asks a voter to accept a value."""

    ballot: tuple[int, str]
    incarnation: str
    value: bytes
    #: Later ballot of the proposer, which an acceptance promises as well.
    reserved: tuple[int, str]


@message("regional.accepted")
@dataclasses.dataclass(frozen=True, kw_only=True)
class AcceptReply(Message):
    """Whether a voter accepted."""

    voter: str
    granted: bool
    promised: tuple[int, str]


@message("regional.peek")
@dataclasses.dataclass(frozen=True, kw_only=True)
class PeekRequest(Message):
    """Asks a voter what it accepted last; promises nothing."""


@message("regional.voters")
@dataclasses.dataclass(frozen=True, kw_only=True)
class VotersDecision(Message):
    """The founder's decision who the voters are."""

    names: tuple[str, ...]


@message("regional.state_query")
@dataclasses.dataclass(frozen=True, kw_only=True)
class StateQuery(Message):
    """Asks an instance for the cluster state that it holds."""


@message("regional.state")
@dataclasses.dataclass(frozen=True, kw_only=True)
class StateReply(Message):
    """The cluster state that an instance holds, and the voters that it knows."""

    voters: tuple[str, ...]
    state: bytes


@message("regional.change")
@dataclasses.dataclass(frozen=True, kw_only=True)
class StateChange(Message):
    """Asks another control instance to make a change to the cluster state."""

    #: ``configuration``, ``evacuate``, ``return``, or ``confirm`` to have what is there accepted by
    #: a majority.
    kind: str
    #: Version of the configuration; 0 for other changes.
    version: int
    #: The configuration's document.
    document: bytes
    #: Availability zone; empty for a configuration.
    zone: str


@message("regional.changed")
@dataclasses.dataclass(frozen=True, kw_only=True)
class StateChangeReply(Message):
    """Whether a change is durable at a majority."""

    done: bool
    #: The agreed state with the change; empty where it isn't durable.
    state: bytes
