"""What callers, operators and backend servers observed in a soak run, and the invariants to check.

All invariants are checked from outside: by what callers received on their connections and by what
the stand-in engines ran. Fewer of them apply to a request whose path was affected by a fault.
"""

from __future__ import annotations

import collections
import dataclasses
import json
from typing import Any

from tests.platform_standin import PLAIN_SERVICE, Engine

#: Entries in each availability zone.
ENTRIES_BY_ZONE = {"n-a": ("m-4", "m-5"), "s-a": ("m-6",)}
#: Statuses that guarantee that a request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)
#: Routes whose requests run at most once.
AT_MOST_ONCE_ROUTES = ("chat", "hold")
#: Time after a fault until a process counts as free of faults again, seconds.
FAULT_SETTLING_S = 6.0
#: Time past a deadline that the platform tolerates, seconds.
DEADLINE_TOLERANCE_S = 0.5
#: Allowance for scheduling delays on a busy machine in times measured here, seconds.
SCHEDULING_ALLOWANCE_S = 1.0
#: Turn of the event loop that runs callers, engines and proxy from which on it counts as late, seconds.
LATE_TURN_S = 0.05
#: Longest time from the acknowledgement of a configuration until it is in force everywhere, seconds.
CONFIGURATION_PROPAGATION_S = 4.0
#: Longest time from the acknowledgement of a drain until the engine gets no request, seconds.
DRAIN_PROPAGATION_S = 4.0
#: Longest time from the acknowledgement of an evacuation until the zone gets no request, seconds.
EVACUATION_PROPAGATION_S = 5.0
#: Length of the window, seconds, allowed ratio of retries to requests in it, and retries allowed
#: in addition.
RETRY_BUDGET_WINDOW_S, RETRY_BUDGET_SHARE, RETRY_BUDGET_SLACK = 10.0, 0.2, 54.0
#: Most engines that requests with one part, or to one path, may end.
MAX_ENDED_ENGINES = 5
#: Window in which requests to an engine with a named limit are counted, seconds, and how many may
#: arrive: a multiple of what the limit allows, and some more.
LIMIT_WINDOW_S, LIMIT_OVERSHOOT, LIMIT_SLACK = 4.0, 1.5, 5
#: Longest time from the first request in a period with a limit until all entries keep it, seconds.
LIMIT_PROPAGATION_S = 0.5
#: Most requests that a cold engine may get in a second: half more than it takes, and three.
MAX_COLD_PER_S = 3.0 * 1.5 + 3
#: Time for which brittle engines don't fall over, seconds, and falls beyond a tenth of their number.
BRITTLE_CONTACT_S, MAX_FALLS = 6.0, 2


@dataclasses.dataclass(kw_only=True)
class SoakRequest:
    """A request of a caller and its response."""

    request_id: str
    route: str
    entry: str
    body: bytes
    sent_at: float
    deadline_s: float
    ended_at: float = 0.0
    #: "open" until the request ends; then "answered", "cut" if the connection ended within the
    #: response, "closed" if it ended before, "left" if the caller disconnected, or "hung". Requests
    #: that check the recovery are "probe".
    outcome: str = "open"
    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    response_body: bytes = b""
    #: Events that earlier requests of the caller brought, for one that goes on after them.
    earlier_events: bytes = b""
    #: Request that brought the first of them.
    began_as: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class FaultPeriod:
    """The period of a fault at a process or on its connections."""

    name: str
    started_at: float
    ended_at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class CommandPeriod:
    """The period from the acknowledgement of a drain or evacuation to its end."""

    subject: str
    started_at: float
    ended_at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class LimitPeriod:
    """A period in which an engine named a limit in its answers."""

    engine: str
    #: Requests a second.
    per_s: float
    started_at: float
    ended_at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class BrittlePeriod:
    """A period in which engines said that they were brittle."""

    engines: tuple[str, ...]
    #: Refusals in a second that each of them bears.
    borne: int
    started_at: float
    ended_at: float


@dataclasses.dataclass(kw_only=True)
class SoakRecord:
    """Everything that was observed in a run."""

    requests: dict[str, SoakRequest] = dataclasses.field(default_factory=dict)
    fault_periods: list[FaultPeriod] = dataclasses.field(default_factory=list)
    #: Time of each acknowledged change, and its version.
    acknowledged: list[tuple[float, int]] = dataclasses.field(default_factory=list)
    #: Time when each read of the configuration was sent, and the version that it returned.
    read: list[tuple[float, int]] = dataclasses.field(default_factory=list)
    #: Begin and end of each time in which the event loop of the test itself was late.
    late: list[tuple[float, float]] = dataclasses.field(default_factory=list)
    drained: list[CommandPeriod] = dataclasses.field(default_factory=list)
    evacuated: list[CommandPeriod] = dataclasses.field(default_factory=list)
    limited: list[LimitPeriod] = dataclasses.field(default_factory=list)
    brittle: list[BrittlePeriod] = dataclasses.field(default_factory=list)
    #: The part or path that crashes engines in each request that has one.
    crashing_requests: dict[str, str] = dataclasses.field(default_factory=dict)
    #: Violations that were detected during the run.
    findings: list[str] = dataclasses.field(default_factory=list)

    def summary(self) -> str:
        """Return the number of requests by outcome, and of those with an entry free of faults."""
        ended = [
            request
            for request in self.requests.values()
            if request.outcome not in ("open", "probe")
        ]
        fault_free_count = sum(
            self.free_of_faults(request.entry, request.sent_at, request.ended_at)
            for request in ended
        )
        outcome_counts = collections.Counter(
            (
                f"{request.outcome} {request.status}"
                if request.outcome == "answered"
                else request.outcome
            )
            for request in ended
        )
        counts = ", ".join(f"{count} {kind}" for kind, count in outcome_counts.most_common())
        late_s = sum(end - begin for begin, end in self.late)
        return (
            f"{len(ended)} requests ({counts}; {fault_free_count} free of faults), "
            f"the test's event loop late for {late_s:.1f} s"
        )

    def note_turn(self, *, due_at: float, now: float) -> None:
        """Record that something that was due in the event loop of the test was done at ``now``."""
        if now - due_at > LATE_TURN_S:
            self.late.append((due_at, now))

    def late_s(self, since: float, until: float) -> float:
        """Return for how long the event loop of the test was late from ``since`` to ``until``, seconds.

        What callers and engines observe is recorded by up to so much later than it happened.
        """
        return sum(max(0.0, min(end, until) - max(begin, since)) for begin, end in self.late)

    def free_of_faults(self, name: str, since: float, until: float) -> bool:
        """Return whether no fault affected a process from ``since`` to ``until``.

        A fault affects it until ``FAULT_SETTLING_S`` after its end.
        """
        return not any(
            period.name == name
            and period.started_at <= until
            and period.ended_at >= since - FAULT_SETTLING_S
            for period in self.fault_periods
        )


def violations(record: SoakRecord, engines: list[Engine]) -> list[str]:
    """Return the invariants that were violated, one line each."""
    findings = list(record.findings)
    engines_by_request: dict[str, list[Engine]] = {}
    for engine in engines:
        for request_id in engine.executed:
            engines_by_request.setdefault(request_id, []).append(engine)
    for request_id in engines_by_request:
        if request_id not in record.requests:
            findings.append(f"{request_id}: run, but no caller sent it")
    for request in record.requests.values():
        findings += [
            f"{request.request_id}: {violation} ({request})"
            for violation in _request_violations(record, request, engines_by_request)
        ]
    findings += _configuration_violations(record)
    findings += _engine_violations(record, engines)
    findings += _retry_budget_violations(record, engines)
    findings += _crashing_part_violations(record, engines)
    findings += _limit_violations(record, engines)
    findings += _cold_violations(record, engines)
    findings += _brittle_violations(record, engines)
    return findings


def _request_violations(
    record: SoakRecord, request: SoakRequest, engines_by_request: dict[str, list[Engine]]
) -> list[str]:
    findings = []
    engines_run = engines_by_request.get(request.request_id, [])
    has_seal = "x-figpaddle-server-seal" in request.headers
    if request.outcome == "answered" and request.status == 200:
        if request.headers.get("x-figpaddle-server-seal") != f"seal-{request.request_id}":
            findings.append("success without the seal of this request")
        body = request.earlier_events + request.response_body
        if not any(body == _expected_body(request, engine) for engine in engines_run):
            findings.append("success without the complete response of an engine that ran it")
    if request.outcome == "cut" and request.route == "plan" and request.status == 200:
        events = whole_events(request)
        if not any(_expected_body(request, engine).startswith(events) for engine in engines_run):
            findings.append("part of a stream that no engine that ran it sends")
    if request.route in AT_MOST_ONCE_ROUTES and len(engines_run) > 1:
        findings.append("ran more than once")
    if request.route in AT_MOST_ONCE_ROUTES and engines_run and request.status in NOT_RUN_STATUSES:
        findings.append("refused as not run, but ran")
    given_statuses = [engine.failed.get(request.request_id) for engine in engines_run]
    if has_seal and request.status >= 400 and request.status not in given_statuses:
        findings.append("a failure with a seal whose status no engine gave")
    for engine in engines_run:
        given_ms = int(
            engine.request_headers[request.request_id].get("x-figpaddle-deadline-ms", "0")
        )
        if not 0 < given_ms <= request.deadline_s * 1000:
            findings.append(f"an engine received a deadline of {given_ms} ms")
    if request.outcome in ("open", "probe"):
        return findings
    if request.outcome == "left":
        return findings + _abandoned_request_violations(record, request, engines_run)
    if not record.free_of_faults(request.entry, request.sent_at, request.ended_at):
        return findings
    latest_end = request.sent_at + request.deadline_s + DEADLINE_TOLERANCE_S
    observed_late_s = record.late_s(request.sent_at, request.ended_at)
    if request.ended_at - observed_late_s > latest_end + SCHEDULING_ALLOWANCE_S:
        findings.append("no response within the deadline")
    if request.outcome == "closed" and (
        engines_run or request.ended_at - request.sent_at > DEADLINE_TOLERANCE_S
    ):
        findings.append("connection closed without a response after the request was read")
    return findings


def _abandoned_request_violations(
    record: SoakRecord, request: SoakRequest, engines_run: list[Engine]
) -> list[str]:
    if not record.free_of_faults(
        request.entry, request.sent_at, request.ended_at + DEADLINE_TOLERANCE_S
    ):
        return []
    due_at = request.ended_at + DEADLINE_TOLERANCE_S + SCHEDULING_ALLOWANCE_S
    for engine in engines_run:
        # The cancellation of a forwarded request passes through an entry in the engine's region,
        # so faults of the entries there count too.
        entries = ENTRIES_BY_ZONE[engine.zone]
        forwarding_entries = () if request.entry in entries else entries
        involved = (engine.name, *forwarding_entries)
        if not all(record.free_of_faults(name, request.sent_at, due_at) for name in involved):
            continue
        ended_at = engine.ended_at.get(request.request_id, due_at)
        if ended_at - record.late_s(request.ended_at, ended_at) > due_at:
            return ["an engine kept working after the caller had disconnected"]
    return []


def _expected_body(request: SoakRequest, engine: Engine) -> bytes:
    if engine.service == PLAIN_SERVICE:
        return request.body + b" done"
    text = engine.event_text.encode()
    numbers = range(1, engine.event_count + 1)
    return b"".join(b"id: %d\ndata: %d%s\n\n" % (n, n, text) for n in numbers)


def whole_events(request: SoakRequest) -> bytes:
    """Return all events that a caller has after a request, without one that is incomplete."""
    body = request.earlier_events + request.response_body
    return body[: body.rfind(b"\n\n") + 2] if b"\n\n" in body else b""


def _configuration_violations(record: SoakRecord) -> list[str]:
    findings = []
    for sent_at, version in record.read:
        acknowledged = [
            acknowledged_version
            for at, acknowledged_version in record.acknowledged
            if at + CONFIGURATION_PROPAGATION_S < sent_at
        ]
        if acknowledged and version < max(acknowledged):
            findings.append(
                f"version {version} read at {sent_at:.2f}, {max(acknowledged)} was acknowledged before"
            )
    return findings


def _engine_violations(record: SoakRecord, engines: list[Engine]) -> list[str]:
    findings = []
    for engine in engines:
        for at, request_id in engine.arrivals:
            for period in record.drained:
                if (
                    period.subject == engine.name
                    and at > period.started_at + DRAIN_PROPAGATION_S + SCHEDULING_ALLOWANCE_S
                ):
                    findings.append(f"{request_id}: reached draining {engine.name}")
            for period in record.evacuated:
                during_evacuation = (
                    period.started_at + EVACUATION_PROPAGATION_S + SCHEDULING_ALLOWANCE_S
                    < at
                    < period.ended_at
                )
                if period.subject == engine.zone and during_evacuation:
                    findings.append(f"{request_id}: reached evacuated {engine.zone}")
    return findings


def _retry_budget_violations(record: SoakRecord, engines: list[Engine]) -> list[str]:
    findings = []
    for service in {engine.service for engine in engines}:
        arrivals = sorted(
            arrival
            for engine in engines
            if engine.service == service
            for arrival in engine.arrivals
        )
        seen_ids: set[str] = set()
        retried_at = []
        for at, request_id in arrivals:
            if request_id in seen_ids:
                retried_at.append(at)
            seen_ids.add(request_id)
        requested_at = [
            request.sent_at
            for request in record.requests.values()
            if (request.route in ("hold", "read")) == (service == PLAIN_SERVICE)
        ]
        for end in retried_at:
            retry_count = sum(end - RETRY_BUDGET_WINDOW_S < at <= end for at in retried_at)
            request_count = sum(end - RETRY_BUDGET_WINDOW_S < at <= end for at in requested_at)
            if retry_count > RETRY_BUDGET_SHARE * request_count + RETRY_BUDGET_SLACK:
                findings.append(
                    f"{service}: {retry_count} retries for {request_count} requests before {end:.2f}"
                )
                break
    return findings


def _crashing_part_violations(record: SoakRecord, engines: list[Engine]) -> list[str]:
    findings = []
    for part in sorted(set(record.crashing_requests.values())):
        ended = [
            engine.name
            for engine in engines
            if any(
                record.crashing_requests.get(request_id) == part for request_id in engine.executed
            )
        ]
        if len(ended) > MAX_ENDED_ENGINES:
            findings.append(f"requests with {part} ended {len(ended)} engines: {ended}")
    return findings


def _limit_violations(record: SoakRecord, engines: list[Engine]) -> list[str]:
    findings = []
    for period in record.limited:
        arrivals = [
            at
            for engine in engines
            if engine.name == period.engine
            for at, _ in engine.arrivals
            if period.started_at <= at <= period.ended_at
        ]
        if not arrivals:
            continue
        told_at = arrivals[0] + LIMIT_PROPAGATION_S + SCHEDULING_ALLOWANCE_S
        counted = [at for at in arrivals if at >= told_at]
        allowed = LIMIT_OVERSHOOT * period.per_s * LIMIT_WINDOW_S + LIMIT_SLACK
        most = max(
            (sum(start <= at < start + LIMIT_WINDOW_S for at in counted) for start in counted),
            default=0,
        )
        if most > allowed:
            findings.append(
                f"{period.engine} named {period.per_s} a second and got {most} requests in "
                f"{LIMIT_WINDOW_S} s"
            )
    return findings


def _cold_violations(record: SoakRecord, engines: list[Engine]) -> list[str]:
    """Return the engines that got more in a second than a cold one bears.

    Faults of its connections may deliver at once what was sent over a longer time.
    """
    findings = []
    for engine in engines:
        cold = [at for at, _ in engine.arrivals if at < engine.cold_until]
        most = max((sum(at <= other < at + 1.0 for other in cold) for at in cold), default=0)
        calm = most and record.free_of_faults(engine.name, cold[0], cold[-1])
        if calm and most > MAX_COLD_PER_S:
            findings.append(f"{engine.name} got {most} requests in a second while it was cold")
    return findings


def _brittle_violations(record: SoakRecord, engines: list[Engine]) -> list[str]:
    """Return the periods in which brittle engines fell over more often than is allowed."""
    findings = []
    for period in record.brittle:
        falls = 0
        for engine in engines:
            if engine.name not in period.engines:
                continue
            since = period.started_at + BRITTLE_CONTACT_S
            times = [at for at in engine.refused_at if since <= at <= period.ended_at]
            falls += any(
                sum(at <= other < at + 1.0 for other in times) > period.borne for at in times
            )
        if falls > MAX_FALLS + len(period.engines) / 10:
            findings.append(f"{falls} of {len(period.engines)} brittle engines fell over")
    return findings


def version_of(body: bytes) -> int:
    """Return the version of a configuration that was read back."""
    document: dict[str, Any] = json.loads(body)
    return int(document["version"])
