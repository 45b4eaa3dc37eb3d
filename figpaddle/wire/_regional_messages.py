"""Messages between the entry and control instances of a deployment."""

from __future__ import annotations

import dataclasses
import enum

from figpaddle.wire._codec import Message, message
from figpaddle.wire._placement_values import BackendState


class InstanceRole(enum.Enum):
    """Role of an instance."""

    #: Serves the requests of callers.
    ENTRY = "entry"
    #: Stores durable state; serves the calls of operators and backend servers.
    CONTROL = "control"


class Readiness(enum.Enum):
    """Whether an entry instance accepts new callers."""

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, kw_only=True)
class BackendWork:
    """In-flight requests from one entry instance at one backend server."""

    #: Name of the backend server.
    backend: str
    #: Number of requests in flight.
    requests: int
    #: KV cache that they occupy, tokens.
    tokens: int
    #: Prompt tokens of requests whose answer hasn't begun.
    prefill: int
    #: The same by priority class from 0: for each, the number of these requests and their prompt
    #: tokens in turn. Absent classes have none; empty from instances that don't tell classes apart.
    waiting: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class RegionalLoad:
    """Load of one service in the sender's region for requests of one priority."""

    #: Name of the service.
    service: str
    #: Priority class of the requests.
    priority: int = 0
    #: Number of backend servers that can receive requests.
    backends: int
    #: Expected time to first token of a new request of mean size, seconds.
    expected_s: float
    #: Number of further requests that could run without queueing.
    room: int
    #: Software versions of these backend servers; none from earlier builds.
    versions: tuple[str, ...] = ()
    #: Software versions of all that run, those that leave or get no requests included; "" for servers
    #: whose version isn't known, alone from earlier builds.
    running_versions: tuple[str, ...] = ("",)


@dataclasses.dataclass(frozen=True, kw_only=True)
class BackendLimit:
    """Limit that one process of a backend server named in an answer."""

    #: Name of the backend server.
    backend: str
    #: Start time of its process, milliseconds of Unix time.
    born: int
    #: Requests a second that it takes from all entries together; None once it names none any more.
    per_s: float | None
    #: Time since the answer, seconds.
    age_s: float


@message("regional.limits")
@dataclasses.dataclass(frozen=True, kw_only=True)
class BackendLimitNews(Message):
    """Limits that backend servers of the region have just named, changed or ended."""

    #: The limits.
    limits: tuple[BackendLimit, ...]


@message("regional.heartbeat")
@dataclasses.dataclass(frozen=True, kw_only=True)
class InstanceHeartbeat(Message):
    """Heartbeat of an instance, sent to all others several times a second."""

    #: Name of the sender, its IP address.
    name: str
    #: Start time of the sender's process, milliseconds of Unix time.
    incarnation: int
    #: Number of the heartbeat, increasing within an incarnation.
    sequence: int
    role: InstanceRole
    region: str
    zone: str
    #: Address of its port for callers; empty for a control instance.
    caller_address: str
    readiness: Readiness
    #: Time since it began to shut down, seconds; 0 if it isn't shutting down.
    stopping_s: float
    #: Revision of the cluster state that it has.
    revision: int
    #: Whether it takes part in the first start of the deployment.
    founding: bool
    #: Its requests in flight at the backend servers of the region.
    work: tuple[BackendWork, ...]
    #: Limits that backend servers of the region named, or ended a short time ago.
    limits: tuple[BackendLimit, ...] = ()
    #: Load of the region's services, as estimated by this entry instance.
    loads: tuple[RegionalLoad, ...]
    #: Names of some other instances, gossiped so that all instances discover each other.
    acquaintances: tuple[str, ...]
    #: Number of entries that the sender knows in each region, those that fell silent within a minute
    #: included, in the order of the regions' names; none from earlier builds.
    entry_counts: tuple[int, ...] = ()
    #: Whether the sender's build keeps the versions of streams; earlier ones would resume a stream at any.
    keeps_stream_versions: bool = False
    #: Whether the sender's build states that it has sent on a request which it is only offered.
    states_offers: bool = False
    #: Whether the sender's build reads the workspace of a request that is forwarded to it.
    states_workspaces: bool = False
    #: Whether the sender's build keeps accounts of engines and grants leases of them.
    leases_engines: bool = False
    #: Whether it is an entry that reaches no backend server.
    cut_off: bool = False
    #: Whether the sender's build understands the messages of relays.
    relays: bool = False
    #: Whether the sender sends its heartbeats through relays; other senders need them from all.
    relayed: bool = False
    #: Whether it goes to the receiver as a relay of the sender's zone, and whether the sender asks that
    #: relay for its news.
    to_relay: bool = False
    asks_for_news: bool = False
    #: Whether the sender asks for a heartbeat in return, as it hears nothing of the receiver.
    asks_for_reply: bool = False
    #: When it was sent, seconds of a clock of the sender that goes on while its machine is suspended; None
    #: from earlier builds.
    sent_at_s: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class BackendRecord:
    """Newest announcement of a backend server about itself."""

    #: Name of this process of the backend server.
    name: str
    #: Start time of the process, milliseconds of Unix time.
    born: int
    #: Number of the announcement, increasing within one process.
    sequence: int
    service: str
    address: str
    zone: str
    state: BackendState
    #: Requests that it runs concurrently.
    slots: int
    #: Remaining warm-up time at the time of the announcement, seconds.
    warmup_s: float
    #: Age of this record, seconds.
    age_s: float
    #: Version of the software of the process; empty if it isn't known, as from earlier builds.
    version: str = ""


@message("regional.backends")
@dataclasses.dataclass(frozen=True, kw_only=True)
class BackendNews(Message):
    """New and repeated records of backend servers."""

    #: The records.
    records: tuple[BackendRecord, ...]


@message("regional.suspect")
@dataclasses.dataclass(frozen=True, kw_only=True)
class CrashReport(Message):
    """Report of a crash with a whole request, which earlier builds send; SuspectNews replaces it.

    It is still decoded, so that a rolling restart logs no unreadable datagrams.
    """

    #: Fingerprint of the request.
    fingerprint: bytes
    #: Name of the backend server.
    backend: str
    #: Start time of its process, milliseconds of Unix time.
    born: int
    #: Time since the request was sent, seconds.
    sent_age_s: float


@message("regional.prepare")
@dataclasses.dataclass(frozen=True, kw_only=True)
class PrepareRequest(Message):
    """Prepare phase of consensus: asks a voter to promise a ballot."""

    ballot: tuple[int, str]


@message("regional.promise")
@dataclasses.dataclass(frozen=True, kw_only=True)
class PrepareReply(Message):
    """Reply to PrepareRequest: a promise or a rejection, with the last accepted value."""

    voter: str
    incarnation: str
    granted: bool
    promised: tuple[int, str]
    accepted: tuple[int, str]
    value: bytes
    #: Whether the sender's build reads the voters from the value; earlier ones never change them.
    changes_voters: bool = False


@message("regional.accept")
@dataclasses.dataclass(frozen=True, kw_only=True)
class AcceptRequest(Message):
    """Accept phase of consensus: asks a voter to accept a value."""

    ballot: tuple[int, str]
    #: Incarnation under which the voter promised ``ballot``.
    incarnation: str
    value: bytes
    #: Later ballot of the same proposer, which a voter that accepts also promises.
    reserved: tuple[int, str]


@message("regional.accepted")
@dataclasses.dataclass(frozen=True, kw_only=True)
class AcceptReply(Message):
    """Reply to AcceptRequest."""

    voter: str
    granted: bool
    promised: tuple[int, str]


@message("regional.peek")
@dataclasses.dataclass(frozen=True, kw_only=True)
class PeekRequest(Message):
    """Reads a voter's last accepted value without a promise; the reply is a PrepareReply."""


@message("regional.voters")
@dataclasses.dataclass(frozen=True, kw_only=True)
class VotersDecision(Message):
    """Voters chosen by the instance that sets up the deployment; the reply has those recorded.

    Earlier builds send it. The register itself holds the voters since then.
    """

    names: tuple[str, ...]


@message("regional.state_query")
@dataclasses.dataclass(frozen=True, kw_only=True)
class StateQuery(Message):
    """Asks an instance for the cluster state that it has."""


@message("regional.state")
@dataclasses.dataclass(frozen=True, kw_only=True)
class StateReply(Message):
    """Reply to StateQuery: the cluster state and the voters known to an instance."""

    voters: tuple[str, ...]
    state: bytes


@message("regional.change")
@dataclasses.dataclass(frozen=True, kw_only=True)
class StateChange(Message):
    """Asks another control instance to change the cluster state."""

    #: Kind of change: ``configuration``, ``evacuate``, ``return``, or ``confirm``, which changes
    #: nothing and has a majority accept the present state.
    kind: str
    #: Version of the configuration; 0 for other changes.
    version: int
    #: The configuration document.
    document: bytes
    #: Availability zone; empty for a configuration.
    zone: str
    #: Number of orders for the zone that were confirmed as this one was given. It has no effect once others
    #: were; None from earlier builds, whose orders always have.
    base: int | None = None


@message("regional.changed")
@dataclasses.dataclass(frozen=True, kw_only=True)
class StateChangeReply(Message):
    """Reply to StateChange."""

    #: Whether the change is durable at a majority of the voters.
    done: bool
    #: The agreed state including the change; empty if the change isn't durable.
    state: bytes
    #: Whether it had no effect because another order followed it.
    overtaken: bool = False
