"""Replicas joined by a lossy network and crashing disks, driven by a seeded schedule."""

from __future__ import annotations

import dataclasses
import random

from figpaddle.coordination import (
    Apply,
    Compact,
    DurableState,
    Effect,
    Event,
    LogSettings,
    Persist,
    Propose,
    Received,
    Replica,
    Restore,
    Role,
    Send,
    Tick,
    first_snapshot,
)
from figpaddle.errors import CoordinationError
from figpaddle.wire import EntryKind, LogMembership, Peer, VoteReply

TIMING = LogSettings(heartbeat_s=1.0, election_s=5.0, join_s=3.0, batch_bytes=8, chunk_bytes=32)
COMPACT_AFTER = 6


class InvariantViolatedError(Exception):
    """A schedule broke a promise of the log."""


@dataclasses.dataclass(kw_only=True)
class Node:
    """One replica with its disk and the machine that its entries feed."""

    name: str
    disk: DurableState
    replica: Replica
    clock_offset: float = 0.0
    machine: list[bytes] = dataclasses.field(default_factory=list)
    applied: int = 0
    disks_lost: int = 0


class Cluster:
    """Drives real replicas and checks after each step what must always hold."""

    #: Probability that a node crashes after it took a message and before its disk was written.
    crash_probability = 0.01

    def __init__(
        self,
        *,
        names: tuple[str, ...],
        seed: int,
        replica: type[Replica],
        keeps_identity: bool = False,
    ) -> None:
        self.keeps_identity = keeps_identity
        self.rng = random.Random(seed)
        self.now = 0.0
        self.replica = replica
        self.names = names
        peers = tuple(Peer(name=name, incarnation=f"{name}-0") for name in names)
        snapshot = first_snapshot(LogMembership(voters=peers))
        self.nodes = {
            peer.name: self._node(peer.name, DurableState(peer=peer, snapshot=snapshot))
            for peer in peers
        }
        self.network: list[Send] = []
        self.leaders: dict[int, Peer] = {}
        self.votes: dict[tuple[int, str], Peer] = {}
        self.history: list[bytes] = []
        self.next_command = 0
        self.cut: set[frozenset[str]] = set()
        self.elections = 0
        self.replaced = 0

    def _node(self, name: str, disk: DurableState) -> Node:
        replica = self.replica(
            state=disk, settings=TIMING, eligible=self.names, rng=self.rng, now=self.now
        )
        node = Node(name=name, disk=disk, replica=replica)
        self._restore(node, disk.snapshot.data, disk.snapshot.index)
        return node

    def _restore(self, node: Node, data: bytes, index: int) -> None:
        node.machine = data.split(b",") if data else []
        node.applied = index

    def handle(self, name: str, event: Event, *, crash: bool = False) -> None:
        node = self.nodes[name]
        try:
            effects = node.replica.handle(event, self.now + node.clock_offset)
        except CoordinationError:
            return
        if crash:
            self.crash(name)
            return
        for effect in effects:
            if isinstance(effect, Persist):
                node.disk = node.disk.with_change(effect)
        for effect in effects:
            self._carry_out(node, effect)
        self.check(node)

    def _carry_out(self, node: Node, effect: Effect) -> None:
        match effect:
            case Send():
                self._note_vote(effect)
                self.network.append(effect)
            case Apply():
                node.applied = effect.entry.index
                if effect.entry.kind is EntryKind.COMMAND:
                    node.machine.append(effect.entry.data)
            case Restore():
                self._restore(node, effect.snapshot.data, effect.snapshot.index)

    def _note_vote(self, effect: Send) -> None:
        vote = effect.message
        if not isinstance(vote, VoteReply) or not vote.granted or vote.trial:
            return
        key = (vote.term, vote.sender.incarnation)
        if self.votes.setdefault(key, vote.receiver) != vote.receiver:
            raise InvariantViolatedError(f"{vote.sender} voted twice in term {vote.term}")

    def check(self, node: Node) -> None:
        replica = node.replica
        if replica.role is Role.LEADER:
            if replica.term not in self.leaders:
                self.elections += 1
            if self.leaders.setdefault(replica.term, replica.peer) != replica.peer:
                raise InvariantViolatedError(f"two leaders in term {replica.term}")
        shared = min(len(node.machine), len(self.history))
        if node.machine[:shared] != self.history[:shared]:
            raise InvariantViolatedError(f"{node.name} applied another history")
        self.history.extend(node.machine[shared:])

    def crash(self, name: str) -> None:
        """Restart a node from what its disk holds."""
        old = self.nodes[name]
        self.nodes[name] = self._node(name, old.disk)
        self.nodes[name].disks_lost = old.disks_lost

    def lose_disk(self, name: str) -> None:
        """Restart a node with an empty disk and a new identity."""
        lost = self.nodes[name].disks_lost + 1
        old = self.nodes[name].replica
        disk = DurableState(peer=Peer(name=name, incarnation=f"{name}-{lost}"))
        if self.keeps_identity:
            membership = old.log.membership
            assert membership is not None
            disk = DurableState(peer=old.peer, snapshot=first_snapshot(membership))
        self.nodes[name] = self._node(name, disk)
        self.nodes[name].disks_lost = lost

    def may_lose_disk(self, name: str) -> bool:
        """Return whether the log can bear the loss: no voter's disk is missing already.

        A quorum of the remaining disks then still meets each quorum that ever acknowledged.
        """
        leader = self.leader()
        if leader is None or leader.name == name:
            return False
        membership = leader.replica.membership
        assert membership is not None
        voters = {node.replica.peer for node in self.nodes.values()}
        if set(membership.voters) != voters:
            return False
        known = [node.replica.membership for node in self.nodes.values()]
        return all(one is not None and set(one.voters) == voters for one in known)

    def leader(self) -> Node | None:
        leading = [node for node in self.nodes.values() if node.replica.role is Role.LEADER]
        return max(leading, key=lambda node: node.replica.term, default=None)

    def propose(self, name: str) -> None:
        self.next_command += 1
        self.handle(name, Propose(data=f"c{self.next_command}".encode()))

    def compact(self, name: str) -> None:
        node = self.nodes[name]
        if node.applied - node.replica.log.snapshot.index >= COMPACT_AFTER:
            self.handle(name, Compact(index=node.applied, data=b",".join(node.machine)))

    def deliver(self, position: int, *, keep: bool = False) -> None:
        send = self.network[position] if keep else self.network.pop(position)
        message = send.message
        sender = getattr(message, "sender", None) or message.peer
        if frozenset((sender.name, send.receiver)) not in self.cut:
            crash = self.rng.random() < self.crash_probability
            self.handle(send.receiver, Received(message=message), crash=crash)

    def step(self) -> None:
        """Do one random thing."""
        rng = self.rng
        name = rng.choice(self.names)
        dice = rng.random()
        if dice < 0.62 and self.network:
            self.deliver(rng.randrange(len(self.network)), keep=rng.random() < 0.05)
        elif dice < 0.66 and self.network:
            self.network.pop(rng.randrange(len(self.network)))
        elif dice < 0.84:
            self.now += rng.uniform(0.0, 0.6)
            self.handle(name, Tick())
        elif dice < 0.94:
            self.propose(name)
        elif dice < 0.96:
            self.compact(name)
        elif dice < 0.975:
            self.crash(name)
        elif dice < 0.98:
            self.nodes[name].clock_offset += rng.uniform(-8.0, 8.0)
        elif dice < 0.985:
            self.cut = {frozenset(rng.sample(self.names, 2)) for _ in range(rng.randrange(3))}
        elif self.may_lose_disk(name):
            self.lose_disk(name)
            self.replaced += 1

    def settle(self, rounds: int = 400) -> None:
        """Heal everything and run calmly."""
        self.cut = set()
        self.crash_probability = 0.0
        for _ in range(rounds):
            self.now += 0.3
            for name in self.names:
                self.handle(name, Tick())
            for _ in range(len(self.network)):
                self.deliver(0)
