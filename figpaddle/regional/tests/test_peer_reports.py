"""What other instances report counts only as long as its evidence is recent."""

from __future__ import annotations

import dataclasses

from figpaddle.coordination import HEARTBEAT_TIMEOUT_S
from figpaddle.regional.tests.simulated_instances import Network, SimulatedInstance
from figpaddle.wire import InstanceRole, encode

#: Time since the entries of the other region reported its load themselves, seconds.
SILENCE_S = 60.0
#: Interval at which relays vouch for them, seconds.
VOUCH_S = 0.5


def test_the_load_of_a_region_is_not_that_of_before_its_entries_reported_through_relays() -> None:
    """Rosters say that an entry is alive, and nothing of the load that it once reported."""
    network = Network(seed=1)
    receiver, sender = (
        SimulatedInstance(network=network, name=name, role=InstanceRole.ENTRY, zone=zone, seeds=())
        for name, zone in (("10.0.0.1", "north-a"), ("10.0.0.2", "east-a"))
    )
    network.instances.update({receiver.name: receiver, sender.name: sender})
    sender.mesh.next_sequence()
    heartbeat = sender.mesh.own_heartbeat(same_region=False)
    in_roster = dataclasses.replace(heartbeat, sequence=1, loads=())
    receiver.mesh.receive_datagram(encode(heartbeat))
    assert receiver.reports.regional_load("east", "draft", 0) is not None
    for _ in range(int(HEARTBEAT_TIMEOUT_S / VOUCH_S)):
        network.now += VOUCH_S
        receiver.mesh.vouch([in_roster], heard_at=network.now)
    assert receiver.reports.regional_load("east", "draft", 0) is not None
    while network.now < SILENCE_S:
        network.now += VOUCH_S
        receiver.mesh.vouch([in_roster], heard_at=network.now)
    assert [item.name for item in receiver.mesh.live_entries("east")] == [sender.name]
    assert receiver.reports.regional_load("east", "draft", 0) is None
