"""Membership under loss, delay, partitions, stalls and restarts in a simulated network."""

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
    ProbeRequested,
    RequestReceived,
    Respond,
)
from figpaddle.coordination.tests.memory_network import MemoryNetwork, instance_info
from figpaddle.wire import Ack, IndirectPing, InstanceState, MemberNews, Message, Ping

SETTLE_S = 60.0
#: Upper limit of the detection bound in a group of at most 24, seconds.
MAX_DETECTION_S = 25.0


def started_network(count: int, *, seed: int = 1, **options: object) -> MemoryNetwork:
    """Return a network of ``count`` instances that all know each other."""
    network = MemoryNetwork(seed=seed, **options)  # type: ignore[arg-type]
    for number in range(count):
        join = (instance_info(0).peer_address,) if number else ()
        network.start(instance_info(number), join=join)
    network.run_until(network.views_agree, timeout_s=SETTLE_S)
    return network


@hypothesis.settings(derandomize=True, deadline=None, max_examples=15)
@hypothesis.given(
    count=st.integers(2, 24), seed=st.integers(0, 10**6), delay_s=st.floats(0.001, 0.24)
)
def test_no_member_is_declared_dead_without_loss(count: int, seed: int, delay_s: float) -> None:
    network = started_network(count, seed=seed, delay_s=delay_s)
    network.run(60.0)
    assert network.deaths() == []
    assert all(not record.suspected for core in network.cores.values() for record in core.records)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=10)
@hypothesis.given(count=st.integers(3, 24), seed=st.integers(0, 10**6))
def test_death_is_detected_everywhere_within_the_bound(count: int, seed: int) -> None:
    network = started_network(count, seed=seed)
    network.kill("instance-001")
    bound = network.options.detection_bound_s(member_count=count)
    assert bound < MAX_DETECTION_S
    network.run_until(lambda: network.deaths() != [], timeout_s=bound)
    network.run_until(network.views_agree, timeout_s=10.0)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=8)
@hypothesis.given(
    count=st.integers(4, 20),
    seed=st.integers(0, 10**6),
    partition_s=st.floats(1.0, 120.0),
    loss=st.sampled_from([0.0, 0.1, 0.2]),
)
def test_views_agree_after_partition_and_loss(
    count: int, seed: int, partition_s: float, loss: float
) -> None:
    network = started_network(count, seed=seed)
    network.loss = loss
    network.partition(*(f"instance-{number:03d}" for number in range(count // 2)))
    network.run(partition_s)
    network.heal()
    network.loss = 0.0
    network.run_until(network.views_agree, timeout_s=SETTLE_S)


def test_partition_heals_without_the_join_address() -> None:
    network = started_network(8)
    network.kill("instance-000")
    network.run_until(network.views_agree, timeout_s=SETTLE_S)
    network.partition("instance-001", "instance-002")
    network.run(60.0)
    network.heal()
    network.run_until(network.views_agree, timeout_s=SETTLE_S)


def test_each_side_of_a_partition_sees_only_its_own_members() -> None:
    network = started_network(12)
    minority = {f"instance-{number:03d}" for number in range(4)}
    network.partition(*minority)
    majority = set(network.cores) - minority
    network.run_until(
        lambda: all(
            network.live_seen_by(name) == (minority if name in minority else majority)
            for name in network.cores
        ),
        timeout_s=SETTLE_S,
    )


def test_lost_probes_alone_declare_no_member_dead() -> None:
    network = started_network(9, loss=0.1, seed=3)
    network.run(120.0)
    assert network.deaths() == []


def test_stalled_instance_returns_with_a_higher_incarnation() -> None:
    network = started_network(6)
    network.stalled.add("instance-002")
    others = set(network.cores) - {"instance-002"}
    network.run_until(
        lambda: all(network.live_seen_by(name) == others for name in others), timeout_s=SETTLE_S
    )
    network.stalled.clear()
    network.run_until(network.views_agree, timeout_s=SETTLE_S)
    assert network.cores["instance-002"].own.incarnation > 1


def test_stalled_instance_declares_no_other_member_dead() -> None:
    network = started_network(6)
    network.stalled.add("instance-002")
    network.run(40.0)
    network.stalled.clear()
    network.run(30.0)
    declared = [change for change in network.deaths() if change[1] == "instance-002"]
    assert declared == []


@pytest.mark.parametrize("incarnation", [1, 2, 50])
def test_restart_with_empty_memory_under_the_same_address_is_the_same_member(
    incarnation: int,
) -> None:
    network = started_network(6)
    network.cores["instance-003"].handle(OwnStateChanged(state=InstanceState.GONE), now=network.now)
    network.kill("instance-003")
    network.run_until(network.views_agree, timeout_s=SETTLE_S)
    network.start(instance_info(3, incarnation=incarnation), join=(instance_info(0).peer_address,))
    network.run_until(network.views_agree, timeout_s=SETTLE_S)


def test_restart_before_the_failure_is_detected_declares_no_death() -> None:
    network = started_network(6)
    network.kill("instance-003")
    network.start(instance_info(3, incarnation=9), join=(instance_info(0).peer_address,))
    network.run(30.0)
    assert network.views_agree()
    assert network.deaths() == []
    restarted = network.cores["instance-000"].records[3].info
    assert restarted.incarnation == 9


def test_another_instance_under_the_address_of_a_dead_one_does_not_revive_it() -> None:
    network = started_network(6)
    network.kill("instance-003")
    successor = dataclasses.replace(instance_info(3), name="heir")
    network.start(successor, join=(instance_info(0).peer_address,))
    network.run_until(network.views_agree, timeout_s=SETTLE_S)
    network.run(30.0)
    assert "instance-003" not in network.live_seen_by("instance-000")


def test_leaving_instance_is_seen_as_leaving_and_then_gone() -> None:
    network = started_network(9)
    leaver = network.cores["instance-004"]
    for state in (InstanceState.LEAVING, InstanceState.GONE):
        leaver.handle(OwnStateChanged(state=state), now=network.now)
        network.run_until(
            lambda expected=state: states_of_leaver(network) == {expected}, timeout_s=10.0
        )


def states_of_leaver(network: MemoryNetwork) -> set[InstanceState]:
    return {
        record.info.state
        for name, core in network.cores.items()
        for record in core.records
        if record.info.name == "instance-004"
    }


def test_state_stays_bounded_after_hundreds_of_restarts() -> None:
    options = MembershipOptions(gone_retention_s=60.0)
    network = started_network(5, options=options)
    for round_number in range(300):
        name = f"instance-{100 + round_number:03d}"
        network.start(instance_info(100 + round_number), join=(instance_info(0).peer_address,))
        network.run(2.0)
        network.kill(name)
    network.run(180.0)
    assert network.views_agree()
    for core in network.cores.values():
        assert len(core.records) == 5
        assert core.queued_updates == 0
        assert core.pending_calls < 10


def test_number_of_records_of_dead_instances_is_limited() -> None:
    options = MembershipOptions(max_gone_members=10)
    network = started_network(3, options=options)
    for number in range(100, 140):
        network.start(instance_info(number), join=(instance_info(0).peer_address,))
        network.run(3.0)
        network.kill(f"instance-{number:03d}")
    network.run(60.0)
    assert all(len(core.records) <= 3 + 10 for core in network.cores.values())


def test_messages_stay_small_when_hundreds_join_at_once() -> None:
    network = MemoryNetwork(seed=5, measures_bytes=True)
    for number in range(100):
        network.start(instance_info(number), join=(instance_info(0).peer_address,))
    network.run_until(network.views_agree, timeout_s=SETTLE_S)
    assert network.largest_bytes <= 6000


def test_message_rate_of_an_instance_does_not_grow_with_the_group() -> None:
    rates = []
    for count in (10, 80):
        network = started_network(count)
        network.messages = 0
        network.run(40.0)
        rates.append(network.messages / count / 40.0)
    assert rates[1] <= rates[0] * 1.2


def test_requested_probe_starts_at_once() -> None:
    network = started_network(9, seed=8)
    network.kill("instance-001")
    network.cores["instance-000"].handle(ProbeRequested(name="instance-001"), now=network.now)
    [call] = network.cores["instance-000"].handle(
        ProbeRequested(name="instance-001"), now=network.now
    )
    assert call.address == instance_info(1).peer_address  # type: ignore[union-attr]


def core_with_members(*numbers: int) -> Membership:
    core = Membership(own=instance_info(0), join=(), rng=random.Random(1))
    send_updates(core, *(MemberNews(info=instance_info(number)) for number in numbers), now=0.0)
    return core


def send_updates(core: Membership, *updates: MemberNews, now: float) -> Ack:
    return send_request(
        core, Ping(sender="instance-001", target="instance-000", news=updates), now=now
    )


def send_request(core: Membership, request: Message, *, now: float) -> Ack:
    effects = core.handle(RequestReceived(token=7, item=request), now=now)
    [ack] = [effect.item for effect in effects if isinstance(effect, Respond)]
    assert isinstance(ack, Ack)
    return ack


def states(core: Membership) -> dict[str, InstanceState]:
    return {record.info.name: record.info.state for record in core.records}


def test_suspicion_does_not_expire_during_a_stall_of_the_process() -> None:
    core = core_with_members(1, 2)
    core.handle(MembershipTick(), now=0.1)
    send_updates(core, MemberNews(info=instance_info(2), suspected=True), now=0.1)
    core.handle(MembershipTick(), now=100.0)
    assert states(core)["instance-002"] is InstanceState.SERVING
    for step in range(1, 20):
        core.handle(MembershipTick(), now=100.0 + step * 0.5)
    assert states(core)["instance-002"] is InstanceState.GONE


def test_update_that_declares_the_receiver_dead_is_sent_first() -> None:
    core = core_with_members(*range(1, 20))
    gone = MemberNews(info=instance_info(1).with_state(InstanceState.GONE))
    send_updates(core, gone, now=1.0)
    for _ in range(100):
        assert send_updates(core, now=1.0).news[0] == gone


def test_ping_for_another_instance_is_not_answered_as_reached() -> None:
    core = core_with_members(1)
    ping = Ping(sender="instance-001", target="instance-009", news=())
    assert not send_request(core, ping, now=1.0).reached


def test_ack_of_another_instance_does_not_count() -> None:
    core = core_with_members(1, 2)
    [probe] = core.handle(ProbeRequested(name="instance-002"), now=1.0)
    assert isinstance(probe, Call)
    ack = Ack(sender="heir", reached=True, news=())
    [indirect] = core.handle(CallFinished(call_id=probe.call_id, reply=ack), now=1.1)
    assert isinstance(indirect, Call)
    assert isinstance(indirect.item, IndirectPing)


def test_death_of_an_unknown_instance_is_not_recorded() -> None:
    core = core_with_members(1)
    send_updates(core, MemberNews(info=instance_info(5).with_state(InstanceState.GONE)), now=1.0)
    assert "instance-005" not in states(core)


def test_probe_that_fails_after_the_death_raises_no_further_suspicion() -> None:
    core = core_with_members(1, 2)
    [probe] = core.handle(ProbeRequested(name="instance-001"), now=1.0)
    assert isinstance(probe, Call)
    [indirect] = core.handle(CallFinished(call_id=probe.call_id, reply=None), now=1.1)
    assert isinstance(indirect, Call)
    send_updates(core, MemberNews(info=instance_info(1).with_state(InstanceState.GONE)), now=1.2)
    core.handle(CallFinished(call_id=indirect.call_id, reply=None), now=1.5)
    assert not any(record.suspected for record in core.records)
