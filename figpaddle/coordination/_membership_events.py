"""Events that the membership protocol handles and effects that it requests."""

from __future__ import annotations

import dataclasses

from figpaddle.wire import InstanceInfo, InstanceState, Message


@dataclasses.dataclass(frozen=True, kw_only=True)
class MembershipTick:
    """Time has passed; the caller sends several ticks per probe interval."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallFinished:
    """A requested call has ended."""

    #: Number of the call.
    call_id: int
    #: The reply; None after a timeout or a failure to connect.
    reply: Message | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestReceived:
    """A request of another instance arrived."""

    #: Number that pairs the response with the request.
    token: int
    #: The request.
    item: Message


@dataclasses.dataclass(frozen=True, kw_only=True)
class OwnStateChanged:
    """This instance begins to leave or has left."""

    #: Its new state.
    state: InstanceState


@dataclasses.dataclass(frozen=True, kw_only=True)
class ProbeRequested:
    """Probe an instance at once, for example because a link to it broke.

    The instance is not suspected unless the probe fails.
    """

    #: Name of the instance.
    name: str


MembershipEvent = MembershipTick | CallFinished | RequestReceived | OwnStateChanged | ProbeRequested


@dataclasses.dataclass(frozen=True, kw_only=True)
class Call:
    """Send ``item`` to ``address`` on a new connection and report the result as CallFinished."""

    #: Number of the call.
    call_id: int
    #: Address of the receiver, ``ip:port``.
    address: str
    #: The request.
    item: Message
    #: Time after which the call fails, seconds.
    timeout_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Respond:
    """Respond to a request."""

    #: Number of the request.
    token: int
    #: The response.
    item: Message


@dataclasses.dataclass(frozen=True, kw_only=True)
class MemberChanged:
    """An instance is new or has another incarnation or state."""

    #: The instance with its new incarnation or state.
    info: InstanceInfo


@dataclasses.dataclass(frozen=True, kw_only=True)
class MemberRemoved:
    """The record of an instance was removed."""

    #: Name of the instance.
    name: str


MembershipEffect = Call | Respond | MemberChanged | MemberRemoved
