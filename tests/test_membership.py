"""Instances that die, freeze, return or are cut off, as callers see it in the lookup."""

from __future__ import annotations

import pathlib
import signal
from collections.abc import Iterator

import pytest

from tests.calls import call, state, wait_until
from tests.conftest import HANBIT_KEY, write_examples
from tests.fault_proxy import FaultProxy
from tests.harness import Deployment

REGIONS = {"seoul-1": "seoul", "seoul-2": "seoul", "busan-1": "busan", "busan-2": "busan"}
#: Within this the lookup follows a change.
DETECTION_S = 15.0
#: A leaving instance still takes requests for this long.
LEAVE_GRACE_S = 5.0


@pytest.fixture(scope="module")
def running(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Deployment]:
    folder: pathlib.Path = tmp_path_factory.mktemp("membership")
    with Deployment(folder, proxy=FaultProxy()) as deployment:
        write_examples(deployment)
        for name, region in REGIONS.items():
            deployment.start_instance(name, region)
        yield deployment


def entries(deployment: Deployment, name: str) -> set[str]:
    """Return the instances that the lookup at ``name`` offers."""
    answer = call(deployment.entry(name), "GET", "/v1/entries", key=HANBIT_KEY)
    return {item["instance"] for item in answer.json()["entries"]}


def wait_for_entries(deployment: Deployment, names: set[str], expected: set[str]) -> float:
    return wait_until(
        lambda: all(entries(deployment, name) == expected for name in names),
        what=f"{sorted(names)} offer {sorted(expected)}",
        timeout_s=DETECTION_S,
    )


def test_killed_instance_vanishes_and_returns_under_its_name(running: Deployment) -> None:
    everyone = set(REGIONS)
    wait_for_entries(running, everyone, everyone)
    before = incarnation_seen(running, "seoul-1", "busan-2")
    running.instances["busan-2"].kill()
    others = everyone - {"busan-2"}
    wait_for_entries(running, others, others)
    running.start_instance("busan-2", "busan")
    wait_for_entries(running, everyone, everyone)
    assert incarnation_seen(running, "seoul-1", "busan-2") > before


def incarnation_seen(deployment: Deployment, viewer: str, name: str) -> int:
    return int(state(deployment.instances[viewer])["membership"]["incarnations"][name])


def test_frozen_instance_vanishes_and_returns_when_it_wakes(running: Deployment) -> None:
    everyone = set(REGIONS)
    wait_for_entries(running, everyone, everyone)
    running.instances["seoul-2"].signal(signal.SIGSTOP)
    others = everyone - {"seoul-2"}
    wait_for_entries(running, others, others)
    running.instances["seoul-2"].signal(signal.SIGCONT)
    wait_for_entries(running, everyone, everyone)


def test_region_cut_off_and_healed_is_one_group_again(running: Deployment) -> None:
    everyone = set(REGIONS)
    wait_for_entries(running, everyone, everyone)
    proxy = running.proxy
    assert proxy is not None
    seoul, busan = {"seoul-1", "seoul-2"}, {"busan-1", "busan-2"}
    for one in seoul:
        for other in busan:
            proxy.cut(one, other)
    wait_for_entries(running, seoul, seoul)
    wait_for_entries(running, busan, busan)
    proxy.heal()
    wait_for_entries(running, everyone, everyone)


def test_silent_open_connections_kill_no_instance(running: Deployment) -> None:
    everyone = set(REGIONS)
    wait_for_entries(running, everyone, everyone)
    before = {name: incarnation_seen(running, name, "seoul-1") for name in everyone}
    assert running.proxy is not None
    assert running.proxy.silence_open() > 0
    wait_until(lambda: all_links_open(running) is False, what="the silence is noticed")
    wait_until(lambda: all_links_open(running), what="links open again")
    assert all(entries(running, name) == everyone for name in everyone)
    after = {name: incarnation_seen(running, name, "seoul-1") for name in everyone}
    assert after == before


def all_links_open(deployment: Deployment) -> bool:
    counts = [
        len(state(instance)["membership"]["links"]) for instance in deployment.instances.values()
    ]
    return min(counts) == len(REGIONS) - 1


def test_leaving_instance_is_offered_no_more_while_it_drains(running: Deployment) -> None:
    everyone = set(REGIONS)
    running.start_instance("busan-3", "busan", limits={"leave_grace_s": LEAVE_GRACE_S})
    wait_for_entries(running, everyone, everyone | {"busan-3"})
    leaver = running.instances.pop("busan-3")
    leaver.signal(signal.SIGTERM)
    taken = wait_for_entries(running, everyone, everyone)
    assert taken < LEAVE_GRACE_S
    assert leaver.popen.wait(LEAVE_GRACE_S + 10.0) == 0
