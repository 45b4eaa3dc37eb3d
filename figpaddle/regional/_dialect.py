"""The interface between the regional processes and one platform's messages."""

from __future__ import annotations

import abc
import dataclasses

from figpaddle.deployment import GatewayConfiguration
from figpaddle.errors import DocumentFault, RequestError
from figpaddle.http1 import Headers, HttpRequest, ResponseHead
from figpaddle.routing import BackendReport
from figpaddle.wire import BackendRecord, Prefix


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallerRequest:
    """The fields of a caller's request that decide how it is handled."""

    #: Identifier that the caller gave to this request; its own retry may have another.
    request_id: str
    #: Host without its port, in lowercase.
    host: str
    #: Time for which the caller waits, seconds; None if the request doesn't state it.
    caller_timeout_s: float | None
    #: Lengths of the prompt and of the longest answer, tokens; 0 for requests without a prompt.
    prompt_tokens: int
    output_tokens: int
    #: Prefixes of the prompt that other prompts may share, shortest first.
    prefixes: tuple[Prefix, ...]
    #: Identifiers of the prompt's parts that other prompts may have too, each once.
    shared_parts: tuple[str, ...] = ()
    #: Id of the last event received from a stream that the caller resumes; empty for none.
    last_event: str
    #: Identifier of the request that brought the first event of that stream; empty if it names none.
    resumed_request: str = ""
    #: Digest of the key that the caller presented; empty without one. The key itself isn't kept.
    key_digest: bytes = b""


@dataclasses.dataclass(frozen=True, kw_only=True)
class BackendAnswer:
    """The fields of the head of a backend server's answer."""

    status: int
    #: Identifier of the request that it answers; empty if the answer has none.
    request_id: str
    #: Whether the backend server states that it did not and will not run the request.
    not_run: bool
    #: Whether another server than the one addressed answered.
    wrong_server: bool
    #: What the backend server states of its load; None if it doesn't.
    load: BackendReport | None
    #: Whether the backend server states that it is leaving.
    leaving: bool = dataclasses.field(default=False, kw_only=True)
    #: Time for which it asks for no further requests, seconds; None if it doesn't.
    pause_s: float | None = dataclasses.field(default=None, kw_only=True)
    #: Requests a second that it takes from all entries together; None if it states no limit.
    limit_per_s: float | None = dataclasses.field(default=None, kw_only=True)
    #: Whether it states a limit that can't be read.
    limit_unreadable: bool = dataclasses.field(default=False, kw_only=True)
    #: Refusals for want of room in a second after which the server falls over; None if it says none.
    bears_refusals: int | None = dataclasses.field(default=None, kw_only=True)
    #: Whether it has the signature of its server, or needs none. A success without it isn't its answer,
    #: for example one whose head broke off.
    signed: bool = dataclasses.field(default=True, kw_only=True)
    #: Header fields to relay to the caller.
    headers: Headers
    #: Whether callers take its status for the promise that the request has not run and never will.
    reads_as_not_run: bool = dataclasses.field(default=False, kw_only=True)

    @property
    def is_unconfirmed_refusal(self) -> bool:
        """Whether callers take it for a promise that its backend server doesn't make: the request may have run."""
        return self.reads_as_not_run and not self.not_run


@dataclasses.dataclass(frozen=True, kw_only=True)
class HealthAnswer:
    """The fields of the head of a backend server's answer to a health check."""

    #: Name of the backend server that answered; empty if the answer has none.
    backend: str
    #: Whether it belongs to a health check, not to a request.
    is_of_check: bool
    #: Whether the backend server is healthy and not leaving.
    healthy: bool
    #: Time until its warm-up ends, seconds; None if it can't be read.
    warmup_s: float | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class PutConfiguration:
    """An operator sends a configuration."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class GetConfiguration:
    """An operator reads the configuration."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class SetEvacuation:
    """An operator begins or ends the evacuation of an availability zone."""

    zone: str
    evacuated: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class BackendCall:
    """A backend server sends a heartbeat, or announces that it leaves."""

    name: str
    leaves: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntryLookup:
    """A caller looks up the addresses of entries."""

    region: str
    zone: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReadinessCheck:
    """The platform checks whether the process accepts callers' requests."""


ControlCall = (
    PutConfiguration | GetConfiguration | SetEvacuation | BackendCall | EntryLookup | ReadinessCheck
)


class InvalidConfigurationError(RequestError):
    """A configuration is invalid; ``faults`` lists the reasons."""

    status = 400
    problem = "invalid-configuration"

    def __init__(self, *, faults: tuple[DocumentFault, ...]) -> None:
        super().__init__(what="; ".join(str(fault) for fault in faults))
        self.faults = faults


class Dialect(abc.ABC):
    """Translates between the messages of one platform and the types of this package."""

    @abc.abstractmethod
    def request_id(self, request: HttpRequest) -> str:
        """Return the identifier that a caller gave to a request; empty if there is none."""

    @abc.abstractmethod
    def read_request(self, request: HttpRequest) -> CallerRequest:
        """Decode a caller's request; raises InvalidRequestError."""

    @abc.abstractmethod
    def without_identity(self, headers: Headers) -> Headers:
        """Return the header fields without the caller's key and any workspace that it states."""

    @abc.abstractmethod
    def backend_headers(
        self,
        request: HttpRequest,
        *,
        backend: str,
        remaining_s: float,
        priority: int,
        last_event: str,
        workspace: str = "",
    ) -> Headers:
        """Return the header fields with which a request is sent to the backend server ``backend``.

        ``workspace`` is the name of the workspace to state; empty to state none.
        """

    @abc.abstractmethod
    def read_answer(self, head: ResponseHead) -> BackendAnswer:
        """Decode the head of a backend server's answer."""

    @abc.abstractmethod
    def health_headers(self, backend: str) -> Headers:
        """Return the header fields of a health check of the backend server ``backend``."""

    @abc.abstractmethod
    def read_health(self, head: ResponseHead) -> HealthAnswer:
        """Decode the head of an answer to a health check."""

    @abc.abstractmethod
    def read_call(self, request: HttpRequest) -> ControlCall | None:
        """Decode which call a request makes; None for an unknown call."""

    @abc.abstractmethod
    def read_configuration(self, document: bytes) -> GatewayConfiguration:
        """Decode a configuration; raises InvalidConfigurationError."""

    @abc.abstractmethod
    def read_backend(self, call: BackendCall, document: bytes) -> BackendRecord | None:
        """Decode a backend server's record; None if fields are missing or malformed.

        Raises InvalidRequestError if the document can't be decoded.
        """

    @abc.abstractmethod
    def lookup_answer(self, addresses: tuple[str, ...], *, ttl_s: float) -> bytes:
        """Encode the answer to an entry lookup; callers may cache it for ``ttl_s``."""

    @property
    @abc.abstractmethod
    def document_type(self) -> str:
        """Media type of the bodies of answers to calls."""
