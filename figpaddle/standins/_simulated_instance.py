"""One instance's decisions in a run under a virtual clock."""

from __future__ import annotations

import dataclasses

from figpaddle.routing import (
    Admission,
    BackendTable,
    Demand,
    Finished,
    FirstToken,
    Options,
    Placement,
    PlacementPolicy,
    Reported,
    Sent,
)
from figpaddle.standins._simulated_engine import Job
from figpaddle.standins._traffic import Arrival
from figpaddle.wire import BackendInfo, ServiceSummary


@dataclasses.dataclass(kw_only=True, eq=False)
class Trip:
    """A request on its way."""

    #: The request as it arrived.
    arrival: Arrival
    #: Region of its caller.
    region: str
    #: Instance that the caller asked.
    decider: Decider = dataclasses.field(init=False)
    #: Instance that talks to the engine.
    server: Decider | None = None
    #: Engine that it is at.
    engine: str = ""
    #: Its job there.
    job: Job | None = None
    #: Attempts so far.
    attempts: int = 0
    #: Backend servers and regions that failed.
    tried: set[str] = dataclasses.field(default_factory=set)
    #: Whether another region serves it.
    away: bool = False
    #: When its first token reached the caller, seconds.
    first_at: float | None = None
    #: Part of the prompt that was in the cache.
    cached_part: float = 0.0
    #: Work at the engine, seconds.
    cost_s: float = 0.0
    #: Whether its result is known.
    ended: bool = False

    def demand(self, *, now: float) -> Demand:
        """Return the request with what is left of its time."""
        passed = now - self.arrival.at
        demand = self.arrival.demand
        return dataclasses.replace(demand, deadline_s=demand.deadline_s - passed)


class Decider:
    """The real policy and admission of one instance, with what it has heard."""

    def __init__(
        self, *, region: str, policy: PlacementPolicy | None, admission: Admission
    ) -> None:
        self.region = region
        self.table = BackendTable()
        #: Newest summary of each other region and when it was received.
        self.regions: dict[str, tuple[float, ServiceSummary]] = {}
        self._targets: dict[str, str] = {}
        self._policy = policy
        self._admission = admission
        self._work: dict[str, float] = {}

    def decide(self, demand: Demand, options: Options, *, now: float) -> Placement | None:
        """Return the admitted placement; raises OverloadedError."""
        assert self._policy is not None
        placement = self._policy.place(demand, options, now=now)
        room = self.table.summary(demand.service, now=now).room if demand.forwarded else None
        if placement is not None and placement.expected_s is not None:
            self._admission.admit(
                demand, placement, shares={demand.member: 1.0}, room=room, now=now
            )
        return placement

    def sent(self, trip: Trip, placement: Placement, *, now: float) -> None:
        """Note that a request was sent."""
        demand = trip.arrival.demand
        self._targets[demand.request_id] = placement.target
        self._work[demand.request_id] = placement.work_s
        if placement.backend is not None:
            self.table.started(placement.target)
        self._observe(Sent(demand=demand, target=placement.target), now)

    def first_token(self, trip: Trip, *, now: float) -> None:
        """Note the first token of an answer."""
        demand = trip.arrival.demand
        target = self._targets.get(demand.request_id)
        if target is None:
            return
        work_s = self._work.pop(demand.request_id, 0.0)
        self._admission.served(demand, target=target, work_s=work_s, now=now)
        self._observe(FirstToken(demand=demand, target=target), now)

    def ended(self, trip: Trip, *, tokens: int, now: float) -> None:
        """Note the end of a request."""
        demand = trip.arrival.demand
        target = self._targets.pop(demand.request_id, None)
        if target is None:
            return
        if self._work.pop(demand.request_id, None) is not None:
            self._admission.failed(demand, target=target)
        self.table.finished(target)
        self._observe(Finished(demand=demand, target=target, tokens=tokens), now)

    def report(self, info: BackendInfo, *, now: float) -> None:
        """Take in a report."""
        self.table.announce(info, now=now)
        self._observe(Reported(info=info), now)

    def _observe(self, event: Sent | FirstToken | Finished | Reported, now: float) -> None:
        if self._policy is not None:
            self._policy.observe(event, now=now)
