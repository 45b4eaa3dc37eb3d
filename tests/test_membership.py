"""Instances that die, freeze, return or are isolated, as the entry lookup shows them."""

from __future__ import annotations

import pathlib
import signal
from collections.abc import Iterator

import pytest

from tests.calls import call, state_dump, wait_until
from tests.conftest import HANBIT_KEY, write_examples
from tests.fault_proxy import FaultProxy
from tests.harness import Deployment

REGION_BY_INSTANCE = {
    "seoul-1": "seoul",
    "seoul-2": "seoul",
    "busan-1": "busan",
    "busan-2": "busan",
}
#: Longest time until the lookup reflects a change of membership.
DETECTION_S = 15.0
#: Time for which a leaving instance still accepts requests.
LEAVE_GRACE_S = 5.0


@pytest.fixture(scope="module")
def running(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Deployment]:
    folder: pathlib.Path = tmp_path_factory.mktemp("membership")
    with Deployment(folder, proxy=FaultProxy()) as deployment:
        write_examples(deployment)
        for name, region in REGION_BY_INSTANCE.items():
            deployment.start_instance(name, region)
        yield deployment


def listed_instances(deployment: Deployment, name: str) -> set[str]:
    """Return the instances that the entry lookup of ``name`` lists."""
    response = call(deployment.caller_address(name), "GET", "/v1/entries", key=HANBIT_KEY)
    return {item["instance"] for item in response.json()["entries"]}


def wait_for_entries(deployment: Deployment, names: set[str], expected: set[str]) -> float:
    return wait_until(
        lambda: all(listed_instances(deployment, name) == expected for name in names),
        description=f"{sorted(names)} list {sorted(expected)}",
        timeout_s=DETECTION_S,
    )


def test_killed_instance_is_delisted_and_returns_under_its_name(running: Deployment) -> None:
    all_names = set(REGION_BY_INSTANCE)
    wait_for_entries(running, all_names, all_names)
    before = incarnation_seen(running, "seoul-1", "busan-2")
    running.instances["busan-2"].kill()
    others = all_names - {"busan-2"}
    wait_for_entries(running, others, others)
    running.start_instance("busan-2", "busan")
    wait_for_entries(running, all_names, all_names)
    assert incarnation_seen(running, "seoul-1", "busan-2") > before


def incarnation_seen(deployment: Deployment, viewer: str, name: str) -> int:
    return int(state_dump(deployment.instances[viewer])["membership"]["incarnations"][name])


def test_frozen_instance_is_delisted_and_returns_when_it_resumes(running: Deployment) -> None:
    all_names = set(REGION_BY_INSTANCE)
    wait_for_entries(running, all_names, all_names)
    running.instances["seoul-2"].signal(signal.SIGSTOP)
    others = all_names - {"seoul-2"}
    wait_for_entries(running, others, others)
    running.instances["seoul-2"].signal(signal.SIGCONT)
    wait_for_entries(running, all_names, all_names)


def test_partitioned_regions_merge_after_the_partition_heals(running: Deployment) -> None:
    all_names = set(REGION_BY_INSTANCE)
    wait_for_entries(running, all_names, all_names)
    proxy = running.proxy
    assert proxy is not None
    seoul, busan = {"seoul-1", "seoul-2"}, {"busan-1", "busan-2"}
    for seoul_name in seoul:
        for busan_name in busan:
            proxy.cut(seoul_name, busan_name)
    wait_for_entries(running, seoul, seoul)
    wait_for_entries(running, busan, busan)
    proxy.heal()
    wait_for_entries(running, all_names, all_names)


def test_silent_links_remove_no_instance(running: Deployment) -> None:
    all_names = set(REGION_BY_INSTANCE)
    wait_for_entries(running, all_names, all_names)
    before = {name: incarnation_seen(running, name, "seoul-1") for name in all_names}
    assert running.proxy is not None
    assert running.proxy.silence_connections() > 0
    wait_until(
        lambda: all_links_open(running) is False, description="the silent links are detected"
    )
    wait_until(lambda: all_links_open(running), description="links open again")
    assert all(listed_instances(running, name) == all_names for name in all_names)
    after = {name: incarnation_seen(running, name, "seoul-1") for name in all_names}
    assert after == before


def all_links_open(deployment: Deployment) -> bool:
    counts = [
        len(state_dump(instance)["membership"]["links"])
        for instance in deployment.instances.values()
    ]
    return min(counts) == len(REGION_BY_INSTANCE) - 1


def test_leaving_instance_is_delisted_while_it_drains(running: Deployment) -> None:
    all_names = set(REGION_BY_INSTANCE)
    running.start_instance("busan-3", "busan", limits={"leave_grace_s": LEAVE_GRACE_S})
    wait_for_entries(running, all_names, all_names | {"busan-3"})
    leaving = running.instances.pop("busan-3")
    leaving.signal(signal.SIGTERM)
    elapsed_s = wait_for_entries(running, all_names, all_names)
    assert elapsed_s < LEAVE_GRACE_S
    assert leaving.popen.wait(LEAVE_GRACE_S + 10.0) == 0
