"""What callers, backend servers and operators speak, as the programs need to know it."""

from __future__ import annotations

import abc
import dataclasses

from figpaddle.deployment import GatewayConfiguration
from figpaddle.errors import DocumentFault, RequestError
from figpaddle.http1 import AnswerHead, Headers, HttpRequest
from figpaddle.wire import BackendRecord, Prefix


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallerRequest:
    """What a request says of itself."""

    #: Identifier that the caller gave to this attempt.
    request_id: str
    #: Host without its port, in lowercase.
    host: str
    #: How long the caller waits, seconds; None where it doesn't say.
    patience_s: float | None
    #: Prompt and longest answer, tokens; 0 for requests without a prompt.
    prompt_tokens: int
    output_tokens: int
    #: Shared parts of the prompt, each with the length up to its end.
    prefixes: tuple[Prefix, ...]
    #: Last event that the caller has of a stream that it takes up again; empty for none.
    last_event: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class BackendAnswer:
    """What the head of a backend server's answer says."""

    status: int
    #: Identifier of the request that it answers; empty where it names none.
    request_id: str
    #: Whether the backend server says that it did not and will not run the request.
    not_run: bool
    #: Whether another server than the one addressed answered.
    wrong_server: bool
    #: Requests in progress there, waiting ones included; None where it doesn't say.
    load: int | None
    #: Fields to be passed on to the caller.
    headers: Headers


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
    """A backend server tells how it is, or that it leaves."""

    name: str
    leaves: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntryLookup:
    """A caller asks where to connect."""

    region: str
    zone: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReadinessCheck:
    """The platform asks whether callers may come."""


ControlCall = (
    PutConfiguration | GetConfiguration | SetEvacuation | BackendCall | EntryLookup | ReadinessCheck
)


class InvalidConfigurationError(RequestError):
    """A configuration can't be put in force; ``faults`` tell why."""

    status = 400
    problem = "invalid-configuration"

    def __init__(self, *, faults: tuple[DocumentFault, ...]) -> None:
        super().__init__(what="; ".join(str(fault) for fault in faults))
        self.faults = faults


class Dialect(abc.ABC):
    """Translates between one platform's messages and the types of this package."""

    @abc.abstractmethod
    def read_request(self, request: HttpRequest) -> CallerRequest:
        """Return what a caller's request says; raises InvalidRequestError."""

    @abc.abstractmethod
    def backend_headers(
        self,
        request: HttpRequest,
        *,
        backend: str,
        left_s: float,
        priority: int,
        last_event: str,
    ) -> Headers:
        """Return the header with which a request goes to the backend server ``backend``."""

    @abc.abstractmethod
    def read_answer(self, head: AnswerHead) -> BackendAnswer:
        """Return what the head of a backend server's answer says."""

    @abc.abstractmethod
    def read_call(self, request: HttpRequest) -> ControlCall | None:
        """Return which call a request makes, or None for none that is known."""

    @abc.abstractmethod
    def read_configuration(self, document: bytes) -> GatewayConfiguration:
        """Return a configuration; raises InvalidConfigurationError."""

    @abc.abstractmethod
    def read_backend(self, call: BackendCall, document: bytes) -> BackendRecord | None:
        """Return what a backend server says of itself, or None where it names none to use."""

    @abc.abstractmethod
    def lookup_answer(self, addresses: tuple[str, ...], *, ttl_s: float) -> bytes:
        """Return the body that names the entries to use."""

    @property
    @abc.abstractmethod
    def document_type(self) -> str:
        """Media type of the bodies of calls."""
