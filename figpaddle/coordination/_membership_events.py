"""Events that membership takes in and effects that it asks for."""

from __future__ import annotations

import dataclasses

from figpaddle.wire import InstanceInfo, InstanceState, Message


@dataclasses.dataclass(frozen=True, kw_only=True)
class MembershipTick:
    """Time has passed; due several times in a probe interval."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallFinished:
    """A call that membership asked for has ended."""

    #: Number of the call.
    call_id: int
    #: The reply; None after a timeout or a failure to connect.
    reply: Message | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestReceived:
    """Another instance called."""

    #: Number by which the response is paired with the request.
    token: int
    #: The request.
    item: Message


@dataclasses.dataclass(frozen=True, kw_only=True)
class OwnStateChanged:
    """The instance itself begins to leave or has left."""

    #: Its new state.
    state: InstanceState


@dataclasses.dataclass(frozen=True, kw_only=True)
class PeerDoubted:
    """Something else, such as a broken link, hints that an instance may be dead."""

    #: Name of the instance.
    name: str


MembershipEvent = MembershipTick | CallFinished | RequestReceived | OwnStateChanged | PeerDoubted


@dataclasses.dataclass(frozen=True, kw_only=True)
class Call:
    """Send ``item`` to ``address`` on a new connection and report the reply or its absence."""

    #: Number of the call.
    call_id: int
    #: Where to, ``ip:port``.
    address: str
    #: The request.
    item: Message
    #: Time after which the call has failed, seconds.
    timeout_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Respond:
    """Answer a request."""

    #: Number of the request.
    token: int
    #: The response.
    item: Message


@dataclasses.dataclass(frozen=True, kw_only=True)
class MemberChanged:
    """An instance is new or has another incarnation or state."""

    #: The instance as it is known now.
    info: InstanceInfo


@dataclasses.dataclass(frozen=True, kw_only=True)
class MemberForgotten:
    """Nothing is kept of an instance any more."""

    #: Name of the instance.
    name: str


MembershipEffect = Call | Respond | MemberChanged | MemberForgotten
