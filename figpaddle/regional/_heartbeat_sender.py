"""Sends heartbeats to the other instances, or to the relays of the zone among many."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from figpaddle.coordination import HEARTBEAT_TIMEOUT_S
from figpaddle.regional._heartbeat_interval import (
    RELAY_HEARTBEAT_INTERVAL_S,
    SAME_REGION_INTERVAL_S,
    heartbeat_interval,
)
from figpaddle.regional._mesh import Mesh
from figpaddle.regional._relaying import Relaying
from figpaddle.regional._settings import ProcessSettings
from figpaddle.wire import InstanceRole, encode

#: Interval between checks for due heartbeats, seconds.
HEARTBEAT_CHECK_INTERVAL_S = SAME_REGION_INTERVAL_S / 2
#: Interval at which the receivers of heartbeats are chosen anew while they go through relays, seconds.
PLAN_INTERVAL_S = 0.4
#: Time before which a heartbeat counts as due, seconds. Checks come at whole multiples of their interval, each a
#: little late, and one must not be passed over because the one before it was later.
DUE_TOLERANCE_S = 0.02


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Receiver:
    """What one instance is sent."""

    interval_s: float
    same_region: bool
    to_relay: bool = False
    asks_for_news: bool = False
    asks_for_reply: bool = False


class HeartbeatSender:
    """Decides which instances get heartbeats, and sends them when they are due."""

    def __init__(
        self,
        *,
        settings: ProcessSettings,
        mesh: Mesh,
        relaying: Relaying,
        clock: Callable[[], float],
    ) -> None:
        self._settings = settings
        self._mesh = mesh
        self._relaying = relaying
        self._clock = clock
        self._next_at: dict[str, float] = {}
        self._plan: dict[str, _Receiver] = {}
        self._plan_expires_at = 0.0
        self._planned_relays: tuple[tuple[str, ...], tuple[str, ...]] = ((), ())

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            self.send_due(self._clock())
            if await self._mesh.wait_for_heartbeat_request(HEARTBEAT_CHECK_INTERVAL_S):
                self._next_at.clear()

    def send_due(self, now: float) -> None:
        """Send the heartbeats that are due at ``now``."""
        self._mesh.detect_silent(now)
        self._update_plan(now)
        names_by_receiver: dict[_Receiver, list[str]] = {}
        regular = self._plan.keys() if self._relaying.enabled else self._mesh.peer_names
        for name in self._mesh.take_reply_requests() - regular:
            receiver = _Receiver(interval_s=0.0, same_region=self._is_in_same_region(name))
            names_by_receiver.setdefault(receiver, []).append(name)
        for name, receiver in self._plan.items():
            if self._next_at.get(name, 0.0) <= now + DUE_TOLERANCE_S:
                self._next_at[name] = now + receiver.interval_s
                names_by_receiver.setdefault(receiver, []).append(name)
        for receiver, names in names_by_receiver.items():
            self._send(receiver, names)

    def _send(self, receiver: _Receiver, names: list[str]) -> None:
        heartbeat = dataclasses.replace(
            self._mesh.own_heartbeat(same_region=receiver.same_region),
            to_relay=receiver.to_relay,
            asks_for_news=receiver.asks_for_news,
            asks_for_reply=receiver.asks_for_reply,
        )
        if receiver.to_relay:
            self._relaying.note_sent(heartbeat)
            heartbeat = dataclasses.replace(heartbeat, acquaintances=())
        elif self._relaying.enabled:
            heartbeat = dataclasses.replace(heartbeat, acquaintances=self._relaying.relay_names())
        self._mesh.send_encoded(encode(heartbeat), names)

    def _update_plan(self, now: float) -> None:
        if not self._relaying.enabled:
            self._plan = {
                name: self._direct_receiver(name, now)
                for name in self._mesh.peer_names
                if self._next_at.get(name, 0.0) <= now + DUE_TOLERANCE_S
            }
            return
        relays = (self._relaying.relays, self._relaying.asked_relays)
        if now < self._plan_expires_at and relays == self._planned_relays:
            return
        self._plan_expires_at, self._planned_relays = now + PLAN_INTERVAL_S, relays
        self._plan = {}
        for name in self._mesh.peer_names:
            receiver = self._relayed_receiver(name, now)
            if receiver is not None:
                self._plan[name] = receiver
        self._next_at = {name: at for name, at in self._next_at.items() if name in self._plan}

    def _relayed_receiver(self, name: str, now: float) -> _Receiver | None:
        """Return what an instance gets while heartbeats go through relays, or None."""
        if name in self._relaying.relays:
            return _Receiver(
                interval_s=RELAY_HEARTBEAT_INTERVAL_S,
                same_region=True,
                to_relay=True,
                asks_for_news=name in self._relaying.asked_relays,
            )
        heard = self._mesh.last_heard(name)
        if heard is None:
            return self._direct_receiver(name, now)
        if now - heard.received_at > HEARTBEAT_TIMEOUT_S:
            is_searched = name in self._settings.seeds or self._mesh.was_named(name, now)
            return self._direct_receiver(name, now) if is_searched else None
        is_direct = now - heard.direct_at <= HEARTBEAT_TIMEOUT_S
        needs_direct = not heard.heartbeat.relays or (is_direct and not heard.heartbeat.relayed)
        are_control = self._settings.role is heard.heartbeat.role is InstanceRole.CONTROL
        return self._direct_receiver(name, now) if needs_direct or are_control else None

    def _direct_receiver(self, name: str, now: float) -> _Receiver:
        heard = self._mesh.last_heard(name)
        silent = heard is None or now - heard.received_at > HEARTBEAT_TIMEOUT_S
        same_region = self._is_in_same_region(name)
        interval_s = heartbeat_interval(
            silent=silent,
            same_region=same_region,
            is_seed=name in self._settings.seeds,
            instances=len(self._mesh.peer_names),
            uptime_s=self._mesh.uptime_s,
        )
        return _Receiver(interval_s=interval_s, same_region=same_region, asks_for_reply=silent)

    def _is_in_same_region(self, name: str) -> bool:
        heard = self._mesh.last_heard(name)
        return heard is not None and heard.heartbeat.region == self._settings.region
