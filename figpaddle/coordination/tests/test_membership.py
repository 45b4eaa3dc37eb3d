"""Membership under loss, delay, partitions, freezes and restarts, over an in-memory link."""

from __future__ import annotations

import dataclasses
import random

import hypothesis
import pytest
from hypothesis import strategies as st

from figpaddle.coordination import (
    Call,
    CallFinished,
    Membership,
    MembershipOptions,
    MembershipTick,
    OwnStateChanged,
    PeerDoubted,
    RequestReceived,
    Respond,
)
from figpaddle.coordination.tests.memory_network import MemoryNetwork, instance_info
from figpaddle.wire import Ack, IndirectPing, InstanceState, MemberNews, Message, Ping

SETTLE_S = 60.0
#: Within this a death is known everywhere in a group of at most 24.
DETECTION_S = 25.0


def started(count: int, *, seed: int = 1, **options: object) -> MemoryNetwork:
    """Return a network whose instances all know each other."""
    network = MemoryNetwork(seed=seed, **options)  # type: ignore[arg-type]
    for number in range(count):
        join = (instance_info(0).peer_address,) if number else ()
        network.start(instance_info(number), join=join)
    network.run_until(network.agreed, timeout_s=SETTLE_S)
    return network


@hypothesis.settings(derandomize=True, deadline=None, max_examples=15)
@hypothesis.given(
    count=st.integers(2, 24), seed=st.integers(0, 10**6), delay_s=st.floats(0.001, 0.24)
)
def test_no_death_without_loss(count: int, seed: int, delay_s: float) -> None:
    network = started(count, seed=seed, delay_s=delay_s)
    network.run(60.0)
    assert network.deaths() == []
    assert all(not r.suspected for core in network.cores.values() for r in core.records)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=10)
@hypothesis.given(count=st.integers(3, 24), seed=st.integers(0, 10**6))
def test_death_is_known_everywhere_within_the_bound(count: int, seed: int) -> None:
    network = started(count, seed=seed)
    network.kill("instance-001")
    bound = network.options.detection_bound_s(members=count)
    assert bound < DETECTION_S
    network.run_until(lambda: network.deaths() != [], timeout_s=bound)
    network.run_until(network.agreed, timeout_s=10.0)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=8)
@hypothesis.given(
    count=st.integers(4, 20),
    seed=st.integers(0, 10**6),
    apart_s=st.floats(1.0, 120.0),
    loss=st.sampled_from([0.0, 0.1, 0.2]),
)
def test_views_agree_after_partition_and_loss(
    count: int, seed: int, apart_s: float, loss: float
) -> None:
    network = started(count, seed=seed)
    network.loss = loss
    network.split(*(f"instance-{number:03d}" for number in range(count // 2)))
    network.run(apart_s)
    network.heal()
    network.loss = 0.0
    network.run_until(network.agreed, timeout_s=SETTLE_S)


def test_partition_heals_without_the_instances_to_join_by() -> None:
    network = started(8)
    network.kill("instance-000")
    network.run_until(network.agreed, timeout_s=SETTLE_S)
    network.split("instance-001", "instance-002")
    network.run(60.0)
    network.heal()
    network.run_until(network.agreed, timeout_s=SETTLE_S)


def test_each_side_of_a_partition_sees_itself_only() -> None:
    network = started(12)
    cut_off = {f"instance-{number:03d}" for number in range(4)}
    network.split(*cut_off)
    rest = set(network.cores) - cut_off
    network.run_until(
        lambda: all(
            network.live_seen_by(name) == (cut_off if name in cut_off else rest)
            for name in network.cores
        ),
        timeout_s=SETTLE_S,
    )


def test_lost_probe_alone_kills_nobody() -> None:
    network = started(9, loss=0.1, seed=3)
    network.run(120.0)
    assert network.deaths() == []


def test_frozen_instance_returns_with_a_higher_incarnation() -> None:
    network = started(6)
    network.frozen.add("instance-002")
    others = set(network.cores) - {"instance-002"}
    network.run_until(
        lambda: all(network.live_seen_by(name) == others for name in others), timeout_s=SETTLE_S
    )
    network.frozen.clear()
    network.run_until(network.agreed, timeout_s=SETTLE_S)
    assert network.cores["instance-002"].own.incarnation > 1


def test_instance_that_stood_still_declares_nobody_dead() -> None:
    network = started(6)
    network.frozen.add("instance-002")
    network.run(40.0)
    network.frozen.clear()
    network.run(30.0)
    blamed = [change for change in network.deaths() if change[1] == "instance-002"]
    assert blamed == []


@pytest.mark.parametrize("incarnation", [1, 2, 50])
def test_restart_with_empty_memory_under_the_same_address_is_the_same_member(
    incarnation: int,
) -> None:
    network = started(6)
    network.cores["instance-003"].handle(OwnStateChanged(state=InstanceState.GONE), now=network.now)
    network.kill("instance-003")
    network.run_until(network.agreed, timeout_s=SETTLE_S)
    network.start(instance_info(3, incarnation=incarnation), join=(instance_info(0).peer_address,))
    network.run_until(network.agreed, timeout_s=SETTLE_S)


def test_restart_before_its_death_was_noticed_is_no_death() -> None:
    network = started(6)
    network.kill("instance-003")
    network.start(instance_info(3, incarnation=9), join=(instance_info(0).peer_address,))
    network.run(30.0)
    assert network.agreed()
    assert network.deaths() == []
    known = network.cores["instance-000"].records[3].info
    assert known.incarnation == 9


def test_another_instance_under_the_address_of_a_dead_one_does_not_revive_it() -> None:
    network = started(6)
    network.kill("instance-003")
    heir = dataclasses.replace(instance_info(3), name="heir")
    network.start(heir, join=(instance_info(0).peer_address,))
    network.run_until(network.agreed, timeout_s=SETTLE_S)
    network.run(30.0)
    assert "instance-003" not in network.live_seen_by("instance-000")


def test_leaving_instance_is_known_to_leave_and_then_gone() -> None:
    network = started(9)
    leaver = network.cores["instance-004"]
    for state in (InstanceState.LEAVING, InstanceState.GONE):
        leaver.handle(OwnStateChanged(state=state), now=network.now)
        network.run_until(lambda s=state: leaver_state(network) == {s}, timeout_s=10.0)


def leaver_state(network: MemoryNetwork) -> set[InstanceState]:
    return {
        record.info.state
        for name, core in network.cores.items()
        for record in core.records
        if record.info.name == "instance-004"
    }


def test_hundreds_of_restarts_leave_no_state_behind() -> None:
    options = MembershipOptions(gone_retention_s=60.0)
    network = started(5, options=options)
    for round_number in range(300):
        name = f"instance-{100 + round_number:03d}"
        network.start(instance_info(100 + round_number), join=(instance_info(0).peer_address,))
        network.run(2.0)
        network.kill(name)
    network.run(180.0)
    assert network.agreed()
    for core in network.cores.values():
        assert len(core.records) == 5
        assert core.spreading_news == 0
        assert core.pending_calls < 10


def test_dead_instances_are_remembered_up_to_a_limit() -> None:
    options = MembershipOptions(max_gone=10)
    network = started(3, options=options)
    for number in range(100, 140):
        network.start(instance_info(number), join=(instance_info(0).peer_address,))
        network.run(3.0)
        network.kill(f"instance-{number:03d}")
    network.run(60.0)
    assert all(len(core.records) <= 3 + 10 for core in network.cores.values())


def test_messages_stay_small_when_hundreds_join_at_once() -> None:
    network = MemoryNetwork(seed=5, measured=True)
    for number in range(100):
        network.start(instance_info(number), join=(instance_info(0).peer_address,))
    network.run_until(network.agreed, timeout_s=SETTLE_S)
    assert network.largest_bytes <= 6000


def test_messages_of_a_node_do_not_grow_with_the_group() -> None:
    rates = []
    for count in (10, 80):
        network = started(count)
        network.messages = 0
        network.run(40.0)
        rates.append(network.messages / count / 40.0)
    assert rates[1] <= rates[0] * 1.2


def test_doubt_from_elsewhere_starts_a_probe_at_once() -> None:
    network = started(9, seed=8)
    network.kill("instance-001")
    network.cores["instance-000"].handle(PeerDoubted(name="instance-001"), now=network.now)
    [call] = network.cores["instance-000"].handle(PeerDoubted(name="instance-001"), now=network.now)
    assert call.address == instance_info(1).peer_address  # type: ignore[union-attr]


def core_that_knows(*numbers: int) -> Membership:
    core = Membership(own=instance_info(0), join=(), rng=random.Random(1))
    give_news(core, *(MemberNews(info=instance_info(number)) for number in numbers), now=0.0)
    return core


def give_news(core: Membership, *news: MemberNews, now: float) -> Ack:
    return ask(core, Ping(sender="instance-001", target="instance-000", news=news), now=now)


def ask(core: Membership, item: Message, *, now: float) -> Ack:
    effects = core.handle(RequestReceived(token=7, item=item), now=now)
    [ack] = [effect.item for effect in effects if isinstance(effect, Respond)]
    assert isinstance(ack, Ack)
    return ack


def states(core: Membership) -> dict[str, InstanceState]:
    return {record.info.name: record.info.state for record in core.records}


def test_suspicion_does_not_expire_while_the_process_stood_still() -> None:
    core = core_that_knows(1, 2)
    core.handle(MembershipTick(), now=0.1)
    give_news(core, MemberNews(info=instance_info(2), suspected=True), now=0.1)
    core.handle(MembershipTick(), now=100.0)
    assert states(core)["instance-002"] is InstanceState.SERVING
    for step in range(1, 20):
        core.handle(MembershipTick(), now=100.0 + step * 0.5)
    assert states(core)["instance-002"] is InstanceState.GONE


def test_one_that_is_thought_dead_is_told_so_first() -> None:
    core = core_that_knows(*range(1, 20))
    gone = MemberNews(info=instance_info(1).with_state(InstanceState.GONE))
    give_news(core, gone, now=1.0)
    for _ in range(100):
        assert give_news(core, now=1.0).news[0] == gone


def test_ping_for_another_instance_is_not_answered_as_reached() -> None:
    core = core_that_knows(1)
    ping = Ping(sender="instance-001", target="instance-009", news=())
    assert not ask(core, ping, now=1.0).reached


def test_answer_of_another_instance_does_not_count() -> None:
    core = core_that_knows(1, 2)
    [probe] = core.handle(PeerDoubted(name="instance-002"), now=1.0)
    assert isinstance(probe, Call)
    ack = Ack(sender="heir", reached=True, news=())
    [further] = core.handle(CallFinished(call_id=probe.call_id, reply=ack), now=1.1)
    assert isinstance(further, Call)
    assert isinstance(further.item, IndirectPing)


def test_death_of_an_unknown_instance_is_not_remembered() -> None:
    core = core_that_knows(1)
    give_news(core, MemberNews(info=instance_info(5).with_state(InstanceState.GONE)), now=1.0)
    assert "instance-005" not in states(core)


def test_probe_that_fails_after_the_death_raises_no_further_suspicion() -> None:
    core = core_that_knows(1, 2)
    [probe] = core.handle(PeerDoubted(name="instance-001"), now=1.0)
    assert isinstance(probe, Call)
    [helped] = core.handle(CallFinished(call_id=probe.call_id, reply=None), now=1.1)
    assert isinstance(helped, Call)
    give_news(core, MemberNews(info=instance_info(1).with_state(InstanceState.GONE)), now=1.2)
    core.handle(CallFinished(call_id=helped.call_id, reply=None), now=1.5)
    assert not any(record.suspected for record in core.records)
