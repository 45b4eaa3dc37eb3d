import random

import pytest

from figpaddle.engine_leases import EngineLease, HeldLease, LeaseBook


def lease(classes: int, *, starts: int | None = None) -> EngineLease:
    count = classes if starts is None else starts
    return EngineLease(prompt_per_s=(900.0,) * classes, starts_per_s=(9.0,) * count, life_s=1.2)


def book(classes: int = 2) -> LeaseBook:
    result = LeaseBook()
    result.set_classes({"draft": classes})
    return result


@pytest.mark.parametrize("entries", [1, 7, 28])
def test_entries_without_a_lease_use_the_small_part_together(entries: int) -> None:
    books = [book() for _ in range(entries)]
    begun = 0
    for step in range(4000):
        now = step * 0.01
        for item in books:
            if step % 40 == 0:
                item.keep_unleased_part(
                    "i", "draft", prompt_per_s=80_000.0, entries=entries, now=now
                )
            if item.may_begin("i", "draft", 1, now=now):
                item.note_begun("i", "draft", 1, prompt_tokens=1000, now=now)
                begun += 1
    # Each entry may begin one request beyond its part and half a second of it.
    assert begun * 1000 <= 0.05 * 80_000 * 40.5 + entries * 1000


def test_requests_of_any_size_begin_equally_often() -> None:
    held = HeldLease(classes=1)
    begun = {100: 0, 8000: 0}
    random_ = random.Random(1)
    for step in range(60_000):
        now = step * 0.01
        if step % 40 == 0:
            held.renew(
                EngineLease(prompt_per_s=(4000.0,), starts_per_s=(50.0,), life_s=1.2), asked_at=now
            )
        size = random_.choice((100, 8000))
        if held.may_begin(0, now=now):
            held.spend(0, prompt_tokens=size, now=now)
            begun[size] += 1
    assert 0.8 < begun[100] / begun[8000] < 1.25


def test_a_lease_counts_from_its_question_and_an_older_one_is_not_taken() -> None:
    item = book()
    item.renew("i", "draft", lease(2), asked_at=1.0)
    item.renew("i", "draft", lease(2), asked_at=0.5)
    assert item.may_begin("i", "draft", 1, now=2.1)
    assert not item.may_begin("i", "draft", 1, now=2.3)


@pytest.mark.parametrize(("prompts", "starts"), [(1, 1), (2, 1), (1, 2), (0, 0)])
def test_a_lease_of_fewer_classes_is_not_taken(prompts: int, starts: int) -> None:
    # One with fewer rates of streams than of prompts ended the next placement in an IndexError.
    item = book()
    item.renew("i", "draft", lease(prompts, starts=starts), asked_at=0.0)
    assert item.may_begin("i", "draft", 0, now=0.1)
    item.note_begun("i", "draft", 1, prompt_tokens=10, now=0.1)
    assert not item.may_begin("i", "draft", 1, now=0.1)


def test_a_lease_of_more_classes_serves_the_own_ones() -> None:
    item = book()
    item.renew("i", "draft", lease(3), asked_at=0.0)
    assert [item.may_begin("i", "draft", index, now=0.1) for index in range(2)] == [True, True]


def test_a_lease_of_a_service_that_is_no_longer_leased_is_not_taken() -> None:
    # It was a KeyError in the handler of the message.
    item = book()
    item.set_classes({})
    item.renew("i", "draft", lease(2), asked_at=0.0)
    assert item.dump(now=0.1) == {}


def test_the_most_urgent_class_goes_on_when_the_classes_change_and_no_account_answers() -> None:
    # The leases were dropped, but counted as in force, so that nothing began until they would have ended.
    item = book()
    item.renew("i", "draft", lease(2), asked_at=0.0)
    item.set_classes({"draft": 3})
    assert item.may_begin("i", "draft", 0, now=0.1)


def test_the_most_urgent_class_goes_on_when_its_only_leased_engine_is_gone() -> None:
    # As above.
    item = book()
    item.renew("i", "draft", lease(2), asked_at=0.0)
    item.forget(["j"])
    assert item.may_begin("j", "draft", 0, now=0.1)
