"""Changes of the configuration over lost disks, restarts and long partitions."""

from __future__ import annotations

import concurrent.futures
import pathlib
import shutil
import signal
from collections.abc import Iterator

import httpx
import pytest

from tests.calls import chat, state, wait_until
from tests.conftest import HANBIT_KEY, write_examples
from tests.control import (
    VOTERS,
    accepted,
    change,
    leader,
    part,
    request,
    revision,
    start,
    start_voters,
    wait_in_force,
)
from tests.fault_proxy import FaultProxy
from tests.harness import OPERATOR_TOKEN, Deployment

TEAMS = 25
CHANGES_A_TEAM = 20
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
    return list(state(deployment.instances[name])["voter"].get("voters", ()))


def test_second_voter_may_die_right_after_the_first_ones_folder_was_replaced(
    running: Deployment,
) -> None:
    first = accepted(running.instances["seoul-1"], share=0.21)
    wait_in_force(list(running.instances.values()), first)
    leading = leader(running)
    lost, second = [name for name in VOTERS if name != leading]
    old = state(running.instances[lost])["voter"]["incarnation"]
    kill(running, lost)
    shutil.rmtree(running.folder / f"data-{lost}")
    start(running, lost, disk=True)

    def repaired() -> bool:
        now = voters_of(running, leading)
        return len(now) == 3 and f"{lost}/{old}" not in now

    wait_until(repaired, what="the new identity votes", timeout_s=20)
    kill(running, second)
    later = accepted(running.instances[lost], share=0.22)
    assert later == first + 1
    kill(running, leading)
    start(running, second, disk=True)
    assert accepted(running.instances[lost], share=0.23) == later + 1
    start(running, leading, disk=True)
    wait_in_force(list(running.instances.values()), later + 1)


def test_two_of_three_together_stop_changes_and_lose_none(running: Deployment) -> None:
    first = accepted(running.instances["seoul-1"], share=0.21)
    wait_in_force(list(running.instances.values()), first)
    in_force = revision(running.instances["daejeon-1"])
    left = leader(running)
    dead = [name for name in VOTERS if name != left]
    kill(running, *dead)
    with pytest.raises(httpx.ReadTimeout):
        change(running.instances[left], base=first, command_id="alone", share=0.9, timeout_s=2.0)
    kill(running, left)
    alone = start(running, left, disk=True)
    assert revision(alone) == in_force
    rows = request(alone, "GET", "/instances").json()
    assert not {row["instance"] for row in rows if row["reachable"]}.intersection(dead)
    start(running, dead[0], disk=True)
    assert accepted(running.instances[dead[0]], share=0.22) > first
    start(running, dead[1], disk=True)


def test_500_changes_survive_a_kill_of_all_voters(running: Deployment) -> None:
    entry = running.instances[leader(running)]
    before = revision(entry)
    template = part(entry)["configuration"]
    url = f"http://{entry.fields['operators']}/v1/configuration"

    def send(client: httpx.Client, team: int, number: int) -> tuple[int, int]:
        name = f"team-{team}"
        plain = {
            "command_id": f"{name}-{number}",
            "base_revision": number,
            "configuration": {**template, "name": name, "share": number / 100},
        }
        answer = client.put(url + f"/{name}", json=plain)
        return answer.status_code, answer.json().get("revision", 0)

    def run_teams(first: int) -> list[list[tuple[int, int]]]:
        with httpx.Client(headers=AUTHORIZATION, trust_env=False) as client:
            return [
                [send(client, team, number) for number in range(CHANGES_A_TEAM)]
                for team in range(first, TEAMS, CLIENTS)
            ]

    with concurrent.futures.ThreadPoolExecutor(max_workers=CLIENTS) as pool:
        results = [team for teams in pool.map(run_teams, range(CLIENTS)) for team in teams]
    expected = [(200, number + 1) for number in range(CHANGES_A_TEAM)]
    assert results == [expected] * TEAMS
    expected_revision = before + TEAMS * CHANGES_A_TEAM
    kill(running, *VOTERS)
    for name in VOTERS:
        start(running, name, disk=True)
    processes = list(running.instances.values())
    wait_until(
        lambda: all(revision(process) == expected_revision for process in processes),
        what="every change is in force",
    )
    leader(running)
    entry = running.instances["seoul-1"]
    url = f"http://{entry.fields['operators']}/v1/configuration"
    with httpx.Client(headers=AUTHORIZATION, trust_env=False) as client:
        wait_until(lambda: send(client, 0, 0) == (200, 1), what="a resend gets its first answer")
    assert revision(entry) == expected_revision


def test_instance_without_a_configuration_serves_nothing_that_rests_on_it(
    deployment: Deployment,
) -> None:
    start(deployment, "seoul-2", disk=False)
    answer = chat(deployment.instances["seoul-2"].fields["callers"], "draft", "x", key=HANBIT_KEY)
    assert answer.status_code == 503
    assert answer.json()["type"].endswith("no-configuration")
    assert answer.json()["outcome"] == "not run" and answer.headers["retry-after"]


def test_cut_off_region_serves_its_own_callers_and_moves_nothing_between_regions(
    running: Deployment,
) -> None:
    assert running.proxy is not None
    running.start_backend("busan-engine", "engine", "busan", ("draft",))
    stale, informed = ("busan-1", "busan-2", "daejeon-2"), ("seoul-1", "daejeon-1")

    def status(name: str) -> int:
        answer = chat(running.entry(name), "draft", "x", key=HANBIT_KEY, max_tokens=1)
        return answer.status_code

    for name in ("busan-2", "daejeon-2"):
        wait_until(lambda n=name: status(n) == 200, what=f"{name} reaches the engine")
    for one in stale:
        for other in informed:
            running.proxy.cut(one, other)
    services = part(running.instances["seoul-1"])["configuration"]["services"]
    for service in services:
        service["regions"] = ["daejeon", "seoul"]
    withdrawn = accepted(running.instances["seoul-1"], services=services)
    wait_in_force([running.instances[name] for name in informed], withdrawn)
    wait_until(lambda: status("daejeon-2") == 503, what="nothing crosses any more", timeout_s=20)
    assert status("busan-2") == 200
    assert part(running.instances["busan-2"])["revision"] < withdrawn
    running.proxy.heal()
    wait_until(lambda: status("busan-2") == 421, what="the withdrawal holds in the region")
