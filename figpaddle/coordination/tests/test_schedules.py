"""The replica keeps its promises under drops, doubles, crashes, lost disks and clock jumps."""

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
    replica: type[Replica] = Replica,
    keeps_identity: bool = False,
) -> Cluster:
    names = tuple("abcde"[:size])
    cluster = Cluster(names=names, seed=seed, replica=replica, keeps_identity=keeps_identity)
    for _ in range(steps):
        cluster.step()
    return cluster


@pytest.mark.parametrize("seed", SEEDS)
def test_random_schedule_keeps_history_and_recovers(seed: int) -> None:
    cluster = run(seed, size=3 if seed % 2 else 5)
    committed = list(cluster.history)
    cluster.settle()
    leader = cluster.leader()
    assert leader is not None
    cluster.propose(leader.name)
    cluster.settle(40)
    assert cluster.history[: len(committed)] == committed
    assert len(cluster.history) > len(committed) > 20
    for node in cluster.nodes.values():
        assert node.machine == cluster.history
        assert node.replica.peer in (leader.replica.membership or pytest.fail()).voters


def test_schedules_reach_what_they_are_for() -> None:
    runs = [run(seed, size=3 if seed % 2 else 5, steps=2000) for seed in range(6)]
    assert sum(cluster.elections for cluster in runs) > 20
    assert sum(cluster.replaced for cluster in runs) > 3


class VotesTwice(Replica):
    """Forgets its vote."""

    def _on_vote_request(self, message: Any, now: float) -> None:
        self._hard = HardState(term=self._hard.term)
        super()._on_vote_request(message, now)


class VotesForAnyLog(Replica):
    """Doesn't compare logs when it votes."""

    def _is_up_to_date(self, message: Any) -> bool:
        return True


class PersistsNothing(Replica):
    """Sends promises without making them durable."""

    def _take_unsaved(self) -> Any:
        super()._take_unsaved()
        return ()


MUTANTS = [VotesTwice, VotesForAnyLog, PersistsNothing]


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.__name__)
def test_schedules_find_a_broken_replica(mutant: type[Replica]) -> None:
    with pytest.raises(InvariantViolatedError):
        for seed in range(60):
            run(seed, size=3 if seed % 2 else 5, replica=mutant)


def test_schedules_find_a_lost_disk_that_keeps_its_identity() -> None:
    with pytest.raises(InvariantViolatedError):
        for seed in range(60):
            run(seed, keeps_identity=True)
