"""Configuration changes across lost disks, restarts and long partitions."""

from __future__ import annotations

import concurrent.futures
import pathlib
import shutil
import signal
from collections.abc import Iterator

import httpx
import pytest

from tests.calls import chat, state_dump, wait_until
from tests.conftest import HANBIT_KEY, write_examples
from tests.control import (
    VOTERS,
    configuration_request,
    configuration_revision,
    member_configuration,
    start_control_instance,
    start_voters,
    submit_change,
    submit_until_accepted,
    wait_for_leader,
    wait_in_force,
)
from tests.fault_proxy import FaultProxy
from tests.harness import OPERATOR_TOKEN, Deployment

TEAMS = 25
CHANGES_PER_TEAM = 20
CLIENTS = 8
AUTHORIZATION = {"authorization": f"Bearer {OPERATOR_TOKEN}"}


@pytest.fixture(scope="module")
def running(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Deployment]:
    folder: pathlib.Path = tmp_path_factory.mktemp("disks")
    with Deployment(folder, proxy=FaultProxy()) as deployment:
        write_examples(deployment)
        start_voters(deployment, others=("busan-2", "daejeon-2"))
        yield deployment


def kill(deployment: Deployment, *names: str) -> None:
    for name in names:
        deployment.instances[name].signal(signal.SIGKILL)
    for name in names:
        deployment.instances[name].popen.wait()


def voters_of(deployment: Deployment, name: str) -> list[str]:
    return list(state_dump(deployment.instances[name])["voter"].get("voters", ()))


def test_second_voter_may_fail_right_after_the_disk_of_the_first_was_replaced(
    running: Deployment,
) -> None:
    first = submit_until_accepted(running.instances["seoul-1"], share=0.21)
    wait_in_force(list(running.instances.values()), first)
    leader_name = wait_for_leader(running)
    wiped, second = [name for name in VOTERS if name != leader_name]
    old_incarnation = state_dump(running.instances[wiped])["voter"]["incarnation"]
    kill(running, wiped)
    shutil.rmtree(running.folder / f"data-{wiped}")
    start_control_instance(running, wiped, disk=True)

    def repaired() -> bool:
        voters = voters_of(running, leader_name)
        return len(voters) == 3 and f"{wiped}/{old_incarnation}" not in voters

    wait_until(repaired, description="the voter votes under its new incarnation", timeout_s=20)
    kill(running, second)
    later = submit_until_accepted(running.instances[wiped], share=0.22)
    assert later == first + 1
    kill(running, leader_name)
    start_control_instance(running, second, disk=True)
    assert submit_until_accepted(running.instances[wiped], share=0.23) == later + 1
    start_control_instance(running, leader_name, disk=True)
    wait_in_force(list(running.instances.values()), later + 1)


def test_failure_of_two_of_three_voters_stops_changes_and_loses_none(running: Deployment) -> None:
    first = submit_until_accepted(running.instances["seoul-1"], share=0.21)
    wait_in_force(list(running.instances.values()), first)
    in_force = configuration_revision(running.instances["daejeon-1"])
    survivor = wait_for_leader(running)
    other_voters = [name for name in VOTERS if name != survivor]
    kill(running, *other_voters)
    with pytest.raises(httpx.ReadTimeout):
        submit_change(
            running.instances[survivor], base=first, command_id="alone", share=0.9, timeout_s=2.0
        )
    kill(running, survivor)
    restarted = start_control_instance(running, survivor, disk=True)
    assert configuration_revision(restarted) == in_force
    rows = configuration_request(restarted, "GET", "/instances").json()
    assert not {row["instance"] for row in rows if row["reachable"]}.intersection(other_voters)
    start_control_instance(running, other_voters[0], disk=True)
    assert submit_until_accepted(running.instances[other_voters[0]], share=0.22) > first
    start_control_instance(running, other_voters[1], disk=True)


def test_500_changes_survive_a_kill_of_all_voters(running: Deployment) -> None:
    entry = running.instances[wait_for_leader(running)]
    before = configuration_revision(entry)
    template = member_configuration(entry)["configuration"]
    url = f"http://{entry.ready_fields['operators']}/v1/configuration"

    def send(client: httpx.Client, team: int, number: int) -> tuple[int, int]:
        name = f"team-{team}"
        body = {
            "command_id": f"{name}-{number}",
            "base_revision": number,
            "configuration": {**template, "name": name, "share": number / 100},
        }
        response = client.put(url + f"/{name}", json=body)
        return response.status_code, response.json().get("revision", 0)

    def run_teams(first: int) -> list[list[tuple[int, int]]]:
        with httpx.Client(headers=AUTHORIZATION, trust_env=False) as client:
            return [
                [send(client, team, number) for number in range(CHANGES_PER_TEAM)]
                for team in range(first, TEAMS, CLIENTS)
            ]

    with concurrent.futures.ThreadPoolExecutor(max_workers=CLIENTS) as pool:
        results = [team for teams in pool.map(run_teams, range(CLIENTS)) for team in teams]
    expected = [(200, number + 1) for number in range(CHANGES_PER_TEAM)]
    assert results == [expected] * TEAMS
    expected_revision = before + TEAMS * CHANGES_PER_TEAM
    kill(running, *VOTERS)
    for name in VOTERS:
        start_control_instance(running, name, disk=True)
    processes = list(running.instances.values())
    wait_until(
        lambda: all(configuration_revision(process) == expected_revision for process in processes),
        description="every change is in force",
    )
    wait_for_leader(running)
    entry = running.instances["seoul-1"]
    url = f"http://{entry.ready_fields['operators']}/v1/configuration"
    with httpx.Client(headers=AUTHORIZATION, trust_env=False) as client:
        wait_until(
            lambda: send(client, 0, 0) == (200, 1), description="a resend gets the first response"
        )
    assert configuration_revision(entry) == expected_revision


def test_instance_without_a_configuration_refuses_requests(
    deployment: Deployment,
) -> None:
    start_control_instance(deployment, "seoul-2", disk=False)
    response = chat(
        deployment.instances["seoul-2"].ready_fields["callers"], "draft", "x", key=HANBIT_KEY
    )
    assert response.status_code == 503
    assert response.json()["type"].endswith("no-configuration")
    assert response.json()["outcome"] == "not run" and response.headers["retry-after"]


def test_isolated_region_serves_its_own_callers_and_forwards_nothing_to_other_regions(
    running: Deployment,
) -> None:
    assert running.proxy is not None
    running.start_backend("busan-engine", "engine", "busan", ("draft",))
    stale, informed = ("busan-1", "busan-2", "daejeon-2"), ("seoul-1", "daejeon-1")

    def status(name: str) -> int:
        response = chat(running.caller_address(name), "draft", "x", key=HANBIT_KEY, max_tokens=1)
        return response.status_code

    for name in ("busan-2", "daejeon-2"):
        wait_until(lambda n=name: status(n) == 200, description=f"{name} reaches the engine")
    for stale_name in stale:
        for informed_name in informed:
            running.proxy.cut(stale_name, informed_name)
    services = member_configuration(running.instances["seoul-1"])["configuration"]["services"]
    for service in services:
        service["regions"] = ["daejeon", "seoul"]
    withdrawn = submit_until_accepted(running.instances["seoul-1"], services=services)
    wait_in_force([running.instances[name] for name in informed], withdrawn)
    wait_until(
        lambda: status("daejeon-2") == 503,
        description="requests are no longer forwarded to another region",
        timeout_s=20,
    )
    assert status("busan-2") == 200
    assert member_configuration(running.instances["busan-2"])["revision"] < withdrawn
    running.proxy.heal()
    wait_until(
        lambda: status("busan-2") == 421, description="the withdrawal is in force in the region"
    )
