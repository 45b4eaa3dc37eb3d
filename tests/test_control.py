"""Configuration changes under races, partitions and kills, on one shared deployment."""

from __future__ import annotations

import json
import pathlib
import re
import signal
from collections.abc import Iterator

import httpx
import pytest

from tests.calls import wait_until
from tests.conftest import EXAMPLES, write_examples
from tests.control import (
    VOTERS,
    configuration_request,
    member_configuration,
    run_concurrently,
    start_control_instance,
    start_voters,
    submit_change,
    submit_until_accepted,
    wait_for_leader,
    wait_in_force,
)
from tests.fault_proxy import FaultProxy
from tests.harness import CUMBRE_TOKEN, OPERATOR_TOKEN, Deployment, Process
from tests.test_tool import run as run_tool

NON_VOTERS = ("seoul-2", "busan-2")
ALL = (*VOTERS, *NON_VOTERS)


@pytest.fixture(scope="module")
def running(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Deployment]:
    folder: pathlib.Path = tmp_path_factory.mktemp("control")
    with Deployment(folder, proxy=FaultProxy()) as deployment:
        write_examples(deployment)
        start_voters(deployment, others=NON_VOTERS)
        yield deployment
        for process in deployment.instances.values():
            assert_revisions_rise(process)


def processes(deployment: Deployment, names: tuple[str, ...] = ALL) -> list[Process]:
    return [deployment.instances[name] for name in names]


def assert_revisions_rise(process: Process) -> None:
    text = "\n".join(process.lines)
    revisions = [int(number) for number in re.findall(r"in_force.* revision=(\d+)", text)]
    assert revisions == sorted(set(revisions))


def isolate(deployment: Deployment, name: str) -> None:
    assert deployment.proxy is not None
    deployment.proxy.cut(name, "*")


def heal(deployment: Deployment) -> None:
    assert deployment.proxy is not None
    deployment.proxy.heal()


def test_change_is_in_force_everywhere_and_shown(running: Deployment) -> None:
    revision = submit_until_accepted(running.instances["busan-2"], share=0.31)
    wait_in_force(processes(running), revision)
    rows = configuration_request(running.instances["seoul-2"], "GET", "/instances").json()
    assert sorted(row["instance"] for row in rows) == sorted(ALL)
    assert len({row["digest"] for row in rows}) == 1
    assert all(row["reachable"] and row["members"]["hanbit"] == revision for row in rows)


def test_tool_applies_answers_and_reports_unreachable_instances(running: Deployment) -> None:
    instance = running.instances["seoul-2"]
    target = ["--instance", instance.ready_fields["operators"], "--token", OPERATOR_TOKEN]
    answers_path = str(EXAMPLES / "hanbit.answers.yaml")
    running.instances["busan-2"].signal(signal.SIGSTOP)
    try:
        applied = run_tool("apply", *target, "--answers", answers_path, "--output", "json")
    finally:
        running.instances["busan-2"].signal(signal.SIGCONT)
    assert applied.returncode == 0, applied.stderr
    states = {row["instance"]: row["state"] for row in json.loads(applied.stdout)}
    assert states == dict.fromkeys(ALL, "in force") | {"busan-2": "unreachable"}
    conflict = run_tool("apply", *target, "--answers", answers_path, "--base", "1")
    assert conflict.returncode == 5 and "configuration-conflict" in conflict.stderr
    shown = run_tool("configuration", *target)
    assert shown.returncode == 0 and len(shown.stdout.splitlines()) == 1 + len(ALL)


def test_one_of_several_concurrent_changes_wins_and_the_others_learn_which(
    running: Deployment,
) -> None:
    base = member_configuration(running.instances["seoul-1"])["revision"]
    responses = run_concurrently(
        [
            lambda n=name: submit_change(
                running.instances[n], base=base, command_id=f"race-{n}-{base}"
            )
            for name in ("seoul-2", "busan-2", "daejeon-1")
        ]
    )
    accepted_changes = [response.json() for response in responses if response.status_code == 200]
    conflicting_changes = [response.json() for response in responses if response.status_code == 409]
    assert (len(accepted_changes), len(conflicting_changes)) == (1, 2)
    assert {response["winner"] for response in conflicting_changes} == {
        accepted_changes[0]["command_id"]
    }


def test_member_can_change_only_its_own_configuration(running: Deployment) -> None:
    instance = running.instances["seoul-2"]
    page = configuration_request(instance, "GET", "", token=CUMBRE_TOKEN).json()
    assert set(page) == {"instance", "members"} and set(page["members"]) == {"cumbre"}
    rows = configuration_request(instance, "GET", "/instances", token=CUMBRE_TOKEN).json()
    assert {(row["revision"], *row["members"]) for row in rows} == {(None, "cumbre")}
    before = member_configuration(instance)
    stolen = submit_change(instance, base=before["revision"], token=CUMBRE_TOKEN)
    assert stolen.status_code == 403

    own = member_configuration(instance, "cumbre")["revision"]
    submit_until_accepted(instance, share=0.33)
    response = submit_change(instance, base=own, member="cumbre", token=CUMBRE_TOKEN)
    assert response.status_code == 200 and response.json()["revision"] == own + 1


@pytest.mark.parametrize("role", ["leader", "follower"])
def test_changes_continue_after_a_voter_is_killed_and_it_catches_up(
    running: Deployment, role: str
) -> None:
    leader_name = wait_for_leader(running)
    name = (
        leader_name if role == "leader" else next(voter for voter in VOTERS if voter != leader_name)
    )
    running.instances[name].signal(signal.SIGKILL)
    running.instances[name].popen.wait()
    share = 0.41 if role == "leader" else 0.42
    revision = submit_until_accepted(running.instances["busan-2"], share=share)
    others = tuple(other for other in ALL if other != name)
    wait_in_force(processes(running, others), revision)
    start_control_instance(running, name, disk=True)
    wait_in_force(processes(running), revision)
    assert member_configuration(running.instances[name])["configuration"]["share"] == share


def test_change_reaches_a_zone_whose_relay_is_frozen(running: Deployment) -> None:
    running.instances["busan-1"].signal(signal.SIGSTOP)
    try:
        revision = submit_until_accepted(running.instances["seoul-2"], share=0.45)
        others = tuple(name for name in ALL if name != "busan-1")
        wait_in_force(processes(running, others), revision)
    finally:
        running.instances["busan-1"].signal(signal.SIGCONT)
    wait_in_force(processes(running), revision)


def test_operators_race_across_a_partition_and_the_isolated_leader_undoes_nothing(
    running: Deployment,
) -> None:
    isolated = wait_for_leader(running)
    majority = tuple(name for name in VOTERS if name != isolated)
    base = member_configuration(running.instances[isolated])["revision"]
    isolate(running, isolated)
    responses = run_concurrently(
        [
            lambda: submit_change(
                running.instances[isolated], base=base, command_id="isolated", share=0.51
            ),
            lambda: submit_until_accepted(running.instances[majority[0]], share=0.52),
        ]
    )
    assert responses[0].status_code == 503 and responses[0].json()["outcome"] == "unknown"
    assert responses[1] == base + 1
    wait_for_leader(running, majority)
    assert member_configuration(running.instances[isolated])["revision"] == base
    heal(running)
    wait_in_force(processes(running), base + 1)
    assert [
        member_configuration(process)["configuration"]["share"] for process in processes(running)
    ] == [0.52] * len(ALL)
    resent = submit_change(
        running.instances[isolated], base=base, command_id="isolated", share=0.51
    )
    assert resent.status_code == 409 and resent.json()["revision"] == base + 1


def test_resend_after_a_lost_response_gets_the_first_response_also_from_the_next_leader(
    running: Deployment,
) -> None:
    assert running.proxy is not None
    base = submit_until_accepted(running.instances["busan-2"], share=0.60)
    wait_in_force(processes(running), base)
    running.proxy.cut("*", "busan-2", both=False)
    with pytest.raises(httpx.ReadTimeout):
        submit_change(
            running.instances["busan-2"], base=base, command_id="lost", share=0.61, timeout_s=1.0
        )
    heal(running)
    wait_in_force(processes(running), base + 1)
    later = submit_until_accepted(running.instances["seoul-2"], share=0.62)
    assert later == base + 2

    def resend() -> tuple[int, int]:
        response = submit_change(
            running.instances["seoul-2"], base=base, command_id="lost", share=0.61
        )
        return response.status_code, response.json().get("revision", 0)

    assert resend() == (200, base + 1)
    killed_leader = wait_for_leader(running)
    running.instances[killed_leader].signal(signal.SIGKILL)
    running.instances[killed_leader].popen.wait()
    wait_until(lambda: resend()[0] != 503, description="another leader responds", timeout_s=30)
    assert resend() == (200, base + 1)
    other = submit_change(running.instances["seoul-2"], base=base, command_id="lost", share=0.99)
    assert other.status_code == 422
    assert member_configuration(running.instances["seoul-2"])["configuration"]["share"] == 0.62
    start_control_instance(running, killed_leader, disk=True)
    wait_in_force(processes(running), later)
