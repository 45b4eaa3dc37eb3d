"""Invariants of the log under lost and duplicate messages, crashes, lost disks and clock jumps."""

from __future__ import annotations

from typing import Any

import pytest

from figpaddle.coordination import HardState, Replica
from figpaddle.coordination.tests.cluster import Cluster, InvariantViolatedError

STEPS = 3000
SEEDS = range(60)


def run(
    seed: int,
    *,
    size: int = 3,
    steps: int = STEPS,
    replica_type: type[Replica] = Replica,
    reuses_identity: bool = False,
) -> Cluster:
    names = tuple("abcde"[:size])
    cluster = Cluster(
        names=names, seed=seed, replica_type=replica_type, reuses_identity=reuses_identity
    )
    for _ in range(steps):
        cluster.step()
    return cluster


@pytest.mark.parametrize("seed", SEEDS)
def test_random_schedule_keeps_committed_commands_and_recovers(seed: int) -> None:
    cluster = run(seed, size=3 if seed % 2 else 5)
    committed = list(cluster.committed)
    cluster.run_without_faults()
    leader = cluster.leader()
    assert leader is not None
    cluster.propose(leader.name)
    cluster.run_without_faults(40)
    assert cluster.committed[: len(committed)] == committed
    assert len(cluster.committed) > len(committed) > 20
    for node in cluster.nodes.values():
        assert node.commands == cluster.committed
        assert node.replica.peer in (leader.replica.membership or pytest.fail()).voters


def test_schedules_include_elections_and_replaced_disks() -> None:
    runs = [run(seed, size=3 if seed % 2 else 5, steps=2000) for seed in range(6)]
    assert sum(cluster.elections for cluster in runs) > 20
    assert sum(cluster.replaced_disks for cluster in runs) > 3


class VotesTwice(Replica):
    """Forgets its vote and so may vote twice in a term."""

    def _on_vote_request(self, message: Any, now: float) -> None:
        self._hard_state = HardState(term=self._hard_state.term)
        super()._on_vote_request(message, now)


class VotesForAnyLog(Replica):
    """Votes without comparing the logs."""

    def _is_up_to_date(self, message: Any) -> bool:
        return True


class PersistsNothing(Replica):
    """Sends messages without making the state behind them durable."""

    def _pop_unsaved(self) -> Any:
        super()._pop_unsaved()
        return ()


MUTANTS = [VotesTwice, VotesForAnyLog, PersistsNothing]


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.__name__)
def test_schedules_detect_a_broken_replica(mutant: type[Replica]) -> None:
    with pytest.raises(InvariantViolatedError):
        for seed in range(60):
            run(seed, size=3 if seed % 2 else 5, replica_type=mutant)


def test_schedules_detect_a_lost_disk_that_keeps_its_identity() -> None:
    with pytest.raises(InvariantViolatedError):
        for seed in range(60):
            run(seed, reuses_identity=True)
