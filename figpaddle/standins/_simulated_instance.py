"""A simulated instance and the requests that it handles."""

from __future__ import annotations

import dataclasses

from figpaddle.routing import (
    Admission,
    BackendTable,
    Demand,
    Finished,
    FirstToken,
    Placement,
    PlacementOptions,
    PlacementPolicy,
    Reported,
    Sent,
)
from figpaddle.standins._simulated_engine import Job
from figpaddle.standins._traffic import Arrival
from figpaddle.wire import BackendInfo, ServiceSummary


@dataclasses.dataclass(kw_only=True, eq=False)
class SimulatedRequest:
    """A request in progress."""

    #: The request as it arrived.
    arrival: Arrival
    #: Region of the caller.
    caller_region: str
    #: Instance that received the request from the caller.
    entry_instance: SimulatedInstance = dataclasses.field(init=False)
    #: Instance that sends it to the engine; None for the oracle.
    serving_instance: SimulatedInstance | None = None
    #: Name of its current engine, or an empty string.
    engine_name: str = ""
    #: Its job at the engine.
    job: Job | None = None
    #: Number of attempts so far.
    attempts: int = 0
    #: Names of the backend servers and regions that failed to serve it.
    failed_targets: set[str] = dataclasses.field(default_factory=set)
    #: Whether another region serves it.
    is_remote: bool = False
    #: Time at which its first token reaches the caller, seconds.
    first_token_at: float | None = None
    #: Fraction of the prompt that was in the prefix cache.
    cached_fraction: float = 0.0
    #: Work at the engine, seconds of engine time.
    cost_s: float = 0.0
    #: Whether its result is recorded.
    ended: bool = False

    def remaining_demand(self, *, now: float) -> Demand:
        """Return the demand with the time that remains until its deadline."""
        elapsed_s = now - self.arrival.arrived_at
        demand = self.arrival.demand
        return dataclasses.replace(demand, deadline_s=demand.deadline_s - elapsed_s)


class SimulatedInstance:
    """The placement policy, admission control and load information of one instance."""

    def __init__(
        self, *, region: str, policy: PlacementPolicy | None, admission: Admission
    ) -> None:
        self.region = region
        self.table = BackendTable()
        #: Latest summary of each other region and when it was received.
        self.region_summaries: dict[str, tuple[float, ServiceSummary]] = {}
        self._targets: dict[str, str] = {}
        self._policy = policy
        self._admission = admission
        #: Engine time of each sent request that has no first token yet, by request id.
        self._unstarted_work_s: dict[str, float] = {}

    def place(self, demand: Demand, options: PlacementOptions, *, now: float) -> Placement | None:
        """Return the admitted placement, or None; raises OverloadedError if admission is denied."""
        assert self._policy is not None
        placement = self._policy.place(demand, options, now=now)
        room = self.table.summary(demand.service, now=now).room if demand.forwarded else None
        if placement is not None and placement.expected_s is not None:
            self._admission.admit(
                demand, placement, shares={demand.member: 1.0}, room=room, now=now
            )
        return placement

    def note_sent(self, request: SimulatedRequest, placement: Placement, *, now: float) -> None:
        """Record that a request was sent."""
        demand = request.arrival.demand
        self._targets[demand.request_id] = placement.target
        self._unstarted_work_s[demand.request_id] = placement.work_s
        if placement.backend is not None:
            self.table.started(placement.target)
        self._notify_policy(Sent(demand=demand, target=placement.target), now)

    def note_first_token(self, request: SimulatedRequest, *, now: float) -> None:
        """Record the first token of a response."""
        demand = request.arrival.demand
        target = self._targets.get(demand.request_id)
        if target is None:
            return
        work_s = self._unstarted_work_s.pop(demand.request_id, 0.0)
        self._admission.note_response_started(demand, target=target, work_s=work_s, now=now)
        self._notify_policy(FirstToken(demand=demand, target=target), now)

    def note_ended(self, request: SimulatedRequest, *, tokens: int, now: float) -> None:
        """Record the end of a request; does nothing unless it is in flight here."""
        demand = request.arrival.demand
        target = self._targets.pop(demand.request_id, None)
        if target is None:
            return
        if self._unstarted_work_s.pop(demand.request_id, None) is not None:
            self._admission.note_failed(demand, target=target)
        self.table.finished(target)
        self._notify_policy(Finished(demand=demand, target=target, tokens=tokens), now)

    def note_report(self, info: BackendInfo, *, now: float) -> None:
        """Record a load report of a backend server."""
        self.table.announce(info, now=now)
        self._notify_policy(Reported(info=info), now)

    def _notify_policy(self, event: Sent | FirstToken | Finished | Reported, now: float) -> None:
        if self._policy is not None:
            self._policy.observe(event, now=now)
