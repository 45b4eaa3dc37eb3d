"""A simulated network of membership instances with loss, delay, partitions and restarts."""

from __future__ import annotations

import heapq
import itertools
import random

from figpaddle.coordination import (
    Call,
    CallFinished,
    MemberChanged,
    Membership,
    MembershipEffect,
    MembershipEvent,
    MembershipOptions,
    MembershipTick,
    RequestReceived,
    Respond,
)
from figpaddle.wire import InstanceInfo, InstanceState, Message, encode

TICK_S = 0.2


def instance_info(number: int, *, zones: int = 3, incarnation: int = 1) -> InstanceInfo:
    zone = number % zones
    return InstanceInfo(
        name=f"instance-{number:03d}",
        region=f"region-{zone // 3}",
        zone=f"zone-{zone}",
        peer_address=f"10.0.{number // 250}.{number % 250}:7000",
        caller_address=f"10.0.{number // 250}.{number % 250}:8000",
        incarnation=incarnation,
    )


class MemoryNetwork:
    """Runs membership instances under a virtual clock; an exchange takes one delay each way."""

    def __init__(
        self,
        *,
        seed: int,
        options: MembershipOptions | None = None,
        loss: float = 0.0,
        delay_s: float = 0.1,
        measures_bytes: bool = False,
    ) -> None:
        self.now = 0.0
        self.rng = random.Random(seed)
        self.options = options or MembershipOptions()
        self.loss = loss
        self.delay_s = delay_s
        self.measures_bytes = measures_bytes
        self.cores: dict[str, Membership] = {}
        self.stalled: set[str] = set()
        self.partition_sides: dict[str, int] = {}
        self.messages = 0
        self.bytes = 0
        self.largest_bytes = 0
        self.changes: list[tuple[float, str, InstanceInfo]] = []
        self._addresses: dict[str, str] = {}
        self._queue: list[tuple[float, int, str, Membership, MembershipEvent]] = []
        self._event_numbers = itertools.count()
        self._tokens = itertools.count(1)
        self._requests: dict[int, tuple[str, Membership, int]] = {}

    def start(self, info: InstanceInfo, *, join: tuple[str, ...] = ()) -> Membership:
        core = Membership(
            own=info,
            join=join,
            rng=random.Random(self.rng.random()),
            options=self.options,
        )
        self.cores[info.name] = core
        self._addresses[info.peer_address] = info.name
        self._push(self.rng.uniform(0.0, TICK_S), info.name, core, MembershipTick())
        return core

    def kill(self, name: str) -> None:
        del self.cores[name]

    def partition(self, *names: str) -> None:
        """Partition ``names`` from all other instances."""
        self.partition_sides = dict.fromkeys(names, 1)

    def heal(self) -> None:
        self.partition_sides = {}

    def run(self, seconds: float) -> None:
        end_at = self.now + seconds
        while self._queue and self._queue[0][0] <= end_at:
            due_at, _, name, core, event = heapq.heappop(self._queue)
            self.now = due_at
            if self.cores.get(name) is not core:
                continue
            if name in self.stalled:
                self._push(0.05, name, core, event)
                continue
            for effect in core.handle(event, now=due_at):
                self._apply(name, core, effect)
            if isinstance(event, MembershipTick):
                self._push(TICK_S, name, core, event)
        self.now = end_at

    def run_until(self, condition: object, *, timeout_s: float) -> float:
        """Run until ``condition()`` holds and return how long that took, virtual seconds."""
        assert callable(condition)
        started_at = self.now
        while not condition():
            assert (
                self.now - started_at < timeout_s
            ), f"condition does not hold within {timeout_s} s"
            self.run(0.1)
        return self.now - started_at

    def live_seen_by(self, name: str) -> set[str]:
        return {record.info.name for record in self.cores[name].records if not record.gone}

    def views_agree(self) -> bool:
        running_names = set(self.cores)
        return all(self.live_seen_by(name) == running_names for name in running_names)

    def deaths(self) -> list[tuple[float, str, InstanceInfo]]:
        return [change for change in self.changes if change[2].state is InstanceState.GONE]

    def _push(self, delay_s: float, name: str, core: Membership, event: MembershipEvent) -> None:
        queued = (self.now + delay_s, next(self._event_numbers), name, core, event)
        heapq.heappush(self._queue, queued)

    def _apply(self, name: str, core: Membership, effect: MembershipEffect) -> None:
        if isinstance(effect, Call):
            self._call(name, core, effect)
        elif isinstance(effect, Respond):
            self._respond(name, effect)
        elif isinstance(effect, MemberChanged):
            self.changes.append((self.now, name, effect.info))

    def _call(self, name: str, core: Membership, call: Call) -> None:
        self._count(call.item)
        timeout = CallFinished(call_id=call.call_id, reply=None)
        self._push(call.timeout_s, name, core, timeout)
        target = self._addresses.get(call.address)
        if target is None or target not in self.cores or self._lost(name, target):
            return
        token = next(self._tokens)
        self._requests[token] = (name, core, call.call_id)
        received = RequestReceived(token=token, item=call.item)
        self._push(self._delay(), target, self.cores[target], received)

    def _respond(self, name: str, effect: Respond) -> None:
        self._count(effect.item)
        caller, core, call_id = self._requests.pop(effect.token)
        if not self._lost(name, caller):
            self._push(
                self._delay(), caller, core, CallFinished(call_id=call_id, reply=effect.item)
            )

    def _delay(self) -> float:
        return self.delay_s * self.rng.uniform(0.2, 1.0)

    def _lost(self, sender: str, receiver: str) -> bool:
        if self.partition_sides.get(sender, 0) != self.partition_sides.get(receiver, 0):
            return True
        return self.rng.random() < self.loss

    def _count(self, message: Message) -> None:
        self.messages += 1
        if self.measures_bytes:
            size = len(encode(message))
            self.bytes += size
            self.largest_bytes = max(self.largest_bytes, size)
