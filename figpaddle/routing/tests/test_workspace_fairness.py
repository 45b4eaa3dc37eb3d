"""A workspace that sends many times its usual delays no other one's requests."""

from __future__ import annotations

import random

import pytest

from figpaddle.routing import WorkspaceFairness

#: Requests a second of each workspace, a few of them large, and of all.
USUAL_PER_S = {f"w{number}": 12.0 / (1 + number) ** 1.2 for number in range(16)}
TOTAL_PER_S = sum(USUAL_PER_S.values())
#: Requests that the servers end in a second, and the longest wait, seconds.
SERVED_PER_S, MAX_WAIT_S = 1.1 * TOTAL_PER_S, 0.4
WARM_UP_S, HOT_S = 20.0, 8.0
STEP_S = 0.01


#: Least part of the others' requests that is admitted.
LEAST_ADMITTED = 0.9


def served_shares(
    *, hot: str, factor: float, is_fair: bool, seed: int
) -> tuple[float, dict[str, float]]:
    """Return the part of the requests that is admitted while one workspace is hot.

    First of the others' together, then of each workspace's.
    """
    rng = random.Random(seed)
    fairness = WorkspaceFairness()
    queue = 0.0
    asked, admitted = dict.fromkeys(USUAL_PER_S, 0), dict.fromkeys(USUAL_PER_S, 0)
    for step in range(int((WARM_UP_S + HOT_S) / STEP_S)):
        now = step * STEP_S
        queue = max(0.0, queue - SERVED_PER_S * STEP_S)
        for name in rng.sample(list(USUAL_PER_S), len(USUAL_PER_S)):
            is_hot = name == hot and now >= WARM_UP_S
            if rng.random() >= USUAL_PER_S[name] * (factor if is_hot else 1.0) * STEP_S:
                continue
            fairness.note_request("draft", 0, name, work=1.0, now=now)
            fraction = fairness.wait_fraction("draft", 0, name, now=now) if is_fair else 1.0
            is_admitted = queue / SERVED_PER_S <= MAX_WAIT_S * fraction
            queue += is_admitted
            if now >= WARM_UP_S:
                asked[name] += 1
                admitted[name] += is_admitted
    others = set(USUAL_PER_S) - {hot}
    of_others = sum(admitted[name] for name in others) / sum(asked[name] for name in others)
    return of_others, {name: admitted[name] / asked[name] for name in asked if asked[name]}


@pytest.mark.parametrize("hot", ["w0", "w3"])
def test_one_hot_workspace_among_sixteen_takes_nothing_from_the_others(hot: str) -> None:
    for seed in range(5):
        unfair, _ = served_shares(hot=hot, factor=9.0, is_fair=False, seed=seed)
        assert unfair < LEAST_ADMITTED
        fair, shares = served_shares(hot=hot, factor=9.0, is_fair=True, seed=seed)
        assert fair > LEAST_ADMITTED
        # The hot one keeps what it usually asks for.
        assert shares[hot] > 1 / 9


def test_usual_load_is_admitted_as_without_shares() -> None:
    for seed in range(5):
        fair = served_shares(hot="w1", factor=1.0, is_fair=True, seed=seed)
        assert fair == served_shares(hot="w1", factor=1.0, is_fair=False, seed=seed)


def test_growth_that_lasts_becomes_usual() -> None:
    fairness = WorkspaceFairness()
    fractions = []
    for number in range(6000):
        now = number * 0.05
        name = "hot" if now > 20.0 and number % 4 else f"w{number % 8}"
        fairness.note_request("draft", 0, name, work=1.0, now=now)
        if name == "hot":
            fractions.append(fairness.wait_fraction("draft", 0, name, now=now))
    assert min(fractions) < 0.3
    assert fractions[-1] > 2 * min(fractions)
