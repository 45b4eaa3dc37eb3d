"""A simulated cluster of replicas with a lossy network, crashes and lost disks."""

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

SETTINGS = LogSettings(
    heartbeat_interval_s=1.0,
    election_timeout_s=5.0,
    join_interval_s=3.0,
    max_batch_bytes=8,
    snapshot_chunk_bytes=32,
)
COMPACT_AFTER_ENTRIES = 6


class InvariantViolatedError(Exception):
    """A schedule violated an invariant of the log."""


@dataclasses.dataclass(kw_only=True)
class Node:
    """One replica with its disk and its state machine, which is a list of commands."""

    name: str
    disk: DurableState
    replica: Replica
    clock_offset: float = 0.0
    commands: list[bytes] = dataclasses.field(default_factory=list)
    applied: int = 0
    disks_lost: int = 0


class Cluster:
    """Runs replicas through random steps and checks the invariants after each step."""

    #: Probability that a node crashes after it handles a message and before it writes its disk.
    crash_probability = 0.01

    def __init__(
        self,
        *,
        names: tuple[str, ...],
        seed: int,
        replica_type: type[Replica],
        reuses_identity: bool = False,
    ) -> None:
        self.reuses_identity = reuses_identity
        self.rng = random.Random(seed)
        self.now = 0.0
        self.replica_type = replica_type
        self.names = names
        peers = tuple(Peer(name=name, incarnation=f"{name}-0") for name in names)
        snapshot = first_snapshot(LogMembership(voters=peers))
        self.nodes = {
            peer.name: self._start_node(peer.name, DurableState(peer=peer, snapshot=snapshot))
            for peer in peers
        }
        self.network: list[Send] = []
        #: Leader of each term.
        self.leaders: dict[int, Peer] = {}
        #: Vote of each replica, by term and incarnation.
        self.votes: dict[tuple[int, str], Peer] = {}
        #: All commands that any node has applied, in order.
        self.committed: list[bytes] = []
        self.last_command = 0
        self.partitioned_pairs: set[frozenset[str]] = set()
        self.elections = 0
        self.replaced_disks = 0

    def _start_node(self, name: str, disk: DurableState) -> Node:
        replica = self.replica_type(
            state=disk, settings=SETTINGS, eligible=self.names, rng=self.rng, now=self.now
        )
        node = Node(name=name, disk=disk, replica=replica)
        self._restore(node, disk.snapshot.data, disk.snapshot.index)
        return node

    def _restore(self, node: Node, data: bytes, index: int) -> None:
        node.commands = data.split(b",") if data else []
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
                self._record_vote(effect)
                self.network.append(effect)
            case Apply():
                node.applied = effect.entry.index
                if effect.entry.kind is EntryKind.COMMAND:
                    node.commands.append(effect.entry.data)
            case Restore():
                self._restore(node, effect.snapshot.data, effect.snapshot.index)

    def _record_vote(self, effect: Send) -> None:
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
        common_length = min(len(node.commands), len(self.committed))
        if node.commands[:common_length] != self.committed[:common_length]:
            raise InvariantViolatedError(f"{node.name} applied other commands than the other nodes")
        self.committed.extend(node.commands[common_length:])

    def crash(self, name: str) -> None:
        """Restart a node from the state on its disk."""
        old = self.nodes[name]
        self.nodes[name] = self._start_node(name, old.disk)
        self.nodes[name].disks_lost = old.disks_lost

    def lose_disk(self, name: str) -> None:
        """Restart a node with an empty disk and, unless ``reuses_identity``, a new identity."""
        lost = self.nodes[name].disks_lost + 1
        old = self.nodes[name].replica
        disk = DurableState(peer=Peer(name=name, incarnation=f"{name}-{lost}"))
        if self.reuses_identity:
            membership = old.log.membership
            assert membership is not None
            disk = DurableState(peer=old.peer, snapshot=first_snapshot(membership))
        self.nodes[name] = self._start_node(name, disk)
        self.nodes[name].disks_lost = lost

    def may_lose_disk(self, name: str) -> bool:
        """Return whether the log tolerates the loss because no other voter's disk is missing.

        A quorum of the remaining disks then still intersects each quorum that acknowledged an
        entry.
        """
        leader = self.leader()
        if leader is None or leader.name == name:
            return False
        membership = leader.replica.membership
        assert membership is not None
        running_peers = {node.replica.peer for node in self.nodes.values()}
        if set(membership.voters) != running_peers:
            return False
        memberships = [node.replica.membership for node in self.nodes.values()]
        return all(
            known is not None and set(known.voters) == running_peers for known in memberships
        )

    def leader(self) -> Node | None:
        leaders = [node for node in self.nodes.values() if node.replica.role is Role.LEADER]
        return max(leaders, key=lambda node: node.replica.term, default=None)

    def propose(self, name: str) -> None:
        self.last_command += 1
        self.handle(name, Propose(data=f"c{self.last_command}".encode()))

    def compact(self, name: str) -> None:
        node = self.nodes[name]
        if node.applied - node.replica.log.snapshot.index >= COMPACT_AFTER_ENTRIES:
            self.handle(name, Compact(index=node.applied, data=b",".join(node.commands)))

    def deliver(self, position: int, *, duplicate: bool = False) -> None:
        send = self.network[position] if duplicate else self.network.pop(position)
        message = send.message
        sender = getattr(message, "sender", None) or message.peer
        if frozenset((sender.name, send.receiver)) not in self.partitioned_pairs:
            crash = self.rng.random() < self.crash_probability
            self.handle(send.receiver, Received(message=message), crash=crash)

    def step(self) -> None:
        """Perform one random action."""
        rng = self.rng
        name = rng.choice(self.names)
        draw = rng.random()
        if draw < 0.62 and self.network:
            self.deliver(rng.randrange(len(self.network)), duplicate=rng.random() < 0.05)
        elif draw < 0.66 and self.network:
            self.network.pop(rng.randrange(len(self.network)))
        elif draw < 0.84:
            self.now += rng.uniform(0.0, 0.6)
            self.handle(name, Tick())
        elif draw < 0.94:
            self.propose(name)
        elif draw < 0.96:
            self.compact(name)
        elif draw < 0.975:
            self.crash(name)
        elif draw < 0.98:
            self.nodes[name].clock_offset += rng.uniform(-8.0, 8.0)
        elif draw < 0.985:
            self.partitioned_pairs = {
                frozenset(rng.sample(self.names, 2)) for _ in range(rng.randrange(3))
            }
        elif self.may_lose_disk(name):
            self.lose_disk(name)
            self.replaced_disks += 1

    def run_without_faults(self, rounds: int = 400) -> None:
        """Remove all partitions and run without crashes until the replicas have caught up."""
        self.partitioned_pairs = set()
        self.crash_probability = 0.0
        for _ in range(rounds):
            self.now += 0.3
            for name in self.names:
                self.handle(name, Tick())
            for _ in range(len(self.network)):
                self.deliver(0)
