import dataclasses
import random

import pytest

from figpaddle.engine_leases import EngineAccount, EngineLease, EngineUse

SPEED = 80_000.0
LEAST = 0.05 * SPEED


def use(*prompt_per_s: float, gap_s: float = 0.05) -> EngineUse:
    """Return a use whose streams are owed 0.1 s, so that their pace leaves prompts a part of the time."""
    return EngineUse(
        prompt_per_s=prompt_per_s,
        starts_per_s=(5.0,) * len(prompt_per_s),
        begun_per_s=(0.0,) * len(prompt_per_s),
        streams=4,
        gap_s=gap_s,
        owed_s=(0.1,) * len(prompt_per_s),
    )


def account() -> EngineAccount:
    return EngineAccount(slots=64, prompt_per_s=SPEED, now=-10.0)


@pytest.mark.parametrize("lost", ["question", "answer"])
@pytest.mark.parametrize("seed", range(6))
def test_leases_in_force_stay_within_what_the_pace_leaves(seed: int, lost: str) -> None:
    # An entry that joined got an equal part beside leases of all that there was: 1 + 1/2 + 1/3 and so on.
    random_ = random.Random(seed)
    engine = account()
    left = (1.0 - 0.05 / 0.09) * SPEED
    held: dict[str, tuple[EngineLease, float]] = {}
    for step in range(1500):
        now = step * 0.01
        # The set of entries changes each second; a question is late, or lost in one of five, or its answer is.
        alive = random.Random(seed * 1000 + step // 100).randint(1, 28)
        name = f"e{random_.randrange(alive)}"
        is_lost = random_.random() < 0.2
        if is_lost and lost == "question":
            continue
        asked_at = now - random_.uniform(0.0, 0.3)
        lease = engine.grant(name, use(0.0, random_.expovariate(1 / 9000)), now=now)
        if not is_lost:
            held[name] = (lease, asked_at + lease.life_s)
        total = sum(item.prompt_per_s[1] for item, until in held.values() if until > now)
        assert total <= left + LEAST + 1e-6


@pytest.mark.parametrize("urgent", [0.0, 20_000.0, 90_000.0])
@pytest.mark.parametrize("gap_s", [0.05, 0.5])
def test_less_urgent_classes_get_what_is_left_and_never_less_than_the_least(
    urgent: float, gap_s: float
) -> None:
    engine = account()
    leases: dict[str, EngineLease] = {}
    for step in range(40):
        name = f"e{step % 4}"
        leases[name] = engine.grant(name, use(urgent / 4, 50_000.0, gap_s=gap_s), now=step * 0.1)
    total = sum(lease.prompt_per_s[1] for lease in leases.values())
    left = (1.0 - min(1.0, gap_s / 0.09)) * SPEED - urgent
    assert total == pytest.approx(max(LEAST, left))


def test_an_account_that_has_just_begun_grants_less_urgent_classes_the_least() -> None:
    engine = EngineAccount(slots=64, prompt_per_s=SPEED, now=0.0)
    early = engine.grant("e", use(0.0, 9000.0), now=1.4)
    later = engine.grant("e", use(0.0, 9000.0), now=1.6)
    assert early.prompt_per_s[0] == pytest.approx(0.9 * SPEED)
    assert early.prompt_per_s[1] == pytest.approx(LEAST)
    assert later.prompt_per_s[1] > 5 * LEAST


def test_entries_with_other_numbers_of_classes_share_an_account() -> None:
    engine = account()
    for step, name in enumerate("abcabc"):
        rates = {"a": (9.0,), "b": (9.0, 9.0, 9.0), "c": (9.0, 9.0)}[name]
        lease = engine.grant(name, use(*rates), now=step * 0.1)
        assert len(lease.prompt_per_s) == len(lease.starts_per_s) >= len(rates)


@pytest.mark.parametrize("entries", [1, 12])
def test_less_urgent_streams_keep_a_least_part_unless_nothing_may_begin(entries: int) -> None:
    # They got no start at all while the most urgent class wanted more than fits, so that their prompts got none either.
    urgent = dataclasses.replace(use(9.0, 9.0), starts_per_s=(900.0 / entries, 5.0), streams=0)
    slow = dataclasses.replace(urgent, streams=64, gap_s=5.0)
    for item, least in [(urgent, 0.05 * 64 / 0.5), (slow, 0.0)]:
        engine = account()
        leases = {}
        for step in range(2 * entries):
            leases[step % entries] = engine.grant(f"e{step % entries}", item, now=0.0)
        total = [sum(lease.starts_per_s[index] for lease in leases.values()) for index in (0, 1)]
        assert least - 1e-9 <= total[1] <= 0.06 * total[0] + 1e-9
