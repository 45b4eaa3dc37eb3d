"""Verdicts on requests that crash backend servers, and the exchange of records."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from figpaddle.routing import LOSS_TTL_S, Quarantine, QuarantineVerdict, SuspectSlots


def note_loss(quarantine: Quarantine, backend: str, digest: bytes = b"d", now: float = 0.0) -> bool:
    return quarantine.note_loss(
        "hanbit", digest, backend=backend, incarnation=1, sent_at=now, now=now
    )


@pytest.mark.parametrize(
    ("backends", "expected"),
    [
        ([], QuarantineVerdict.CLEAR),
        (["e1"], QuarantineVerdict.SUSPECT),
        (["e1", "e1"], QuarantineVerdict.SUSPECT),
        (["e1", "e2"], QuarantineVerdict.REFUSED),
    ],
)
def test_requests_are_refused_after_two_lost_backend_servers(
    backends: list[str], expected: QuarantineVerdict
) -> None:
    quarantine = Quarantine()
    for backend in backends:
        note_loss(quarantine, backend)
    assert quarantine.verdict(b"d", now=1.0) is expected
    assert quarantine.verdict(b"another", now=1.0) is QuarantineVerdict.CLEAR


def test_request_sent_after_the_crash_was_noticed_is_no_suspect() -> None:
    quarantine = Quarantine()
    for digest, sent_at in ((b"before", 0.0), (b"after", 0.2)):
        quarantine.note_loss(
            "hanbit", digest, backend="e1", incarnation=1, sent_at=sent_at, now=sent_at + 0.1
        )
    assert quarantine.verdict(b"before", now=1.0) is QuarantineVerdict.SUSPECT
    assert quarantine.verdict(b"after", now=1.0) is QuarantineVerdict.CLEAR


def test_refusal_ends_when_its_losses_expire() -> None:
    quarantine = Quarantine()
    note_loss(quarantine, "e1", now=0.0)
    note_loss(quarantine, "e2", now=100.0)
    refused_s = quarantine.refused_for_s(b"d", now=200.0)
    assert quarantine.verdict(b"d", now=200.0 + refused_s - 0.1) is QuarantineVerdict.REFUSED
    assert quarantine.verdict(b"d", now=200.0 + refused_s + 0.1) is QuarantineVerdict.SUSPECT
    assert quarantine.records(now=100.0 + LOSS_TTL_S) == ()


def test_pardon_outlasts_old_records_but_not_new_losses() -> None:
    quarantine = Quarantine()
    note_loss(quarantine, "e1")
    note_loss(quarantine, "e2")
    old_records = quarantine.records(now=1.0)
    assert quarantine.pardon(b"d", now=1.0)
    quarantine.merge(old_records, now=2.0)
    assert quarantine.verdict(b"d", now=2.0) is QuarantineVerdict.CLEAR
    assert not note_loss(quarantine, "e2", now=2.0)
    note_loss(quarantine, "e3", now=2.0)
    note_loss(quarantine, "e4", now=2.0)
    assert quarantine.verdict(b"d", now=2.0) is QuarantineVerdict.REFUSED


def test_one_members_records_evict_only_its_own() -> None:
    quarantine = Quarantine(max_records=10)
    quarantine.note_loss("cumbre", b"kept", backend="e", incarnation=1, sent_at=0.0, now=0.0)
    for number in range(50):
        note_loss(quarantine, f"e{number}", digest=b"%d" % number, now=float(number))
    remaining_digests = {record.digest for record in quarantine.records(now=50.0)}
    assert remaining_digests == {b"kept"} | {b"%d" % number for number in range(41, 50)}


EVENTS = st.lists(
    st.tuples(st.sampled_from(["lose", "pardon"]), st.sampled_from(["e1", "e2", "e3"])), max_size=6
)


@settings(derandomize=True, deadline=None, max_examples=100)
@given(st.lists(EVENTS, min_size=3, max_size=3))
def test_instances_agree_in_every_order_of_merges(
    histories: list[list[tuple[str, str]]],
) -> None:
    verdicts = set()
    for order in itertools.permutations(range(3)):
        instances = [Quarantine() for _ in histories]
        for instance, history in zip(instances, histories, strict=True):
            for event, backend in history:
                if event == "lose":
                    note_loss(instance, backend)
                else:
                    instance.pardon(b"d", now=0.0)
        for _ in range(2):
            for source in order:
                for target in reversed(order):
                    instances[target].merge(instances[source].records(now=1.0), now=1.0)
        instance_verdicts = {instance.verdict(b"d", now=1.0) for instance in instances}
        assert len(instance_verdicts) == 1
        verdicts |= instance_verdicts
    assert len(verdicts) == 1


def test_slot_admits_one_suspect_at_a_time() -> None:
    slots = SuspectSlots()
    assert slots.take("e1", b"one", now=0.0)
    assert not slots.take("e1", b"two", now=1.0)
    slots.release("e1", b"two")
    assert not slots.take("e1", b"two", now=1.0)
    slots.release("e1", b"one")
    assert slots.take("e1", b"two", now=1.0)
