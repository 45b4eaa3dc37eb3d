"""Helpers that start deployments with voters and change their configuration."""

from __future__ import annotations

import concurrent.futures
import uuid
from typing import Any

import httpx

from tests.calls import CALL_TIMEOUT_S, state_dump, wait_until
from tests.harness import OPERATOR_TOKEN, Deployment, Process

VOTERS = ("seoul-1", "busan-1", "daejeon-1")


def start_voters(
    deployment: Deployment, *, voters: tuple[str, ...] = VOTERS, others: tuple[str, ...] = ()
) -> None:
    """Start voters and instances without a disk, and wait until the deployment is complete.

    It is complete once every instance has the configuration and knows all others. Membership
    spreads with the probes of the failure detector and may arrive after the configuration.
    """
    for name in voters:
        start_control_instance(deployment, name, voters=voters, disk=True)
    for name in others:
        start_control_instance(deployment, name, voters=voters, disk=False)
    for name in (*voters, *others):
        process = deployment.instances[name]
        wait_until(
            lambda p=process: configuration_revision(p) >= 2,
            description=f"{name} has the configuration",
        )
        wait_until(
            lambda p=process: known_instances(p) == {*voters, *others},
            description=f"{name} knows the other instances",
        )


def start_control_instance(
    deployment: Deployment, name: str, *, voters: tuple[str, ...] = VOTERS, disk: bool
) -> Process:
    settings: dict[str, Any] = {"control": {"voters": list(voters)}}
    if disk:
        settings["data_folder"] = f"data-{name}"
    return deployment.start_instance(name, name.rsplit("-", 1)[0], **settings)


def known_instances(process: Process) -> set[str]:
    """Return the names of the instances that ``process`` knows, including its own."""
    return {str(row["name"]) for row in state_dump(process)["membership"]["instances"]}


def configuration_revision(process: Process) -> int:
    current: int = state_dump(process)["configuration"]["revision"]
    return current


def configuration_request(
    process: Process,
    method: str,
    path: str,
    *,
    token: str = OPERATOR_TOKEN,
    body: Any = None,
    timeout_s: float = CALL_TIMEOUT_S,
) -> httpx.Response:
    return httpx.request(
        method,
        f"http://{process.ready_fields['operators']}/v1/configuration{path}",
        headers={"authorization": f"Bearer {token}"},
        json=body,
        timeout=timeout_s,
        trust_env=False,
    )


def member_configuration(process: Process, member: str = "hanbit") -> Any:
    """Return the configuration of one member that is in force at the instance."""
    return configuration_request(process, "GET", "").json()["members"][member]


def submit_change(
    process: Process,
    *,
    base: int,
    member: str = "hanbit",
    timeout_s: float = CALL_TIMEOUT_S,
    command_id: str | None = None,
    token: str = OPERATOR_TOKEN,
    **fields: Any,
) -> httpx.Response:
    """Submit a change of fields of a member's configuration."""
    configuration = {**member_configuration(process, member)["configuration"], **fields}
    body = {
        "command_id": command_id or uuid.uuid4().hex,
        "base_revision": base,
        "configuration": configuration,
    }
    return configuration_request(
        process, "PUT", f"/{member}", token=token, body=body, timeout_s=timeout_s
    )


def submit_until_accepted(process: Process, **fields: Any) -> int:
    """Submit a change on the latest revision until it is accepted; return the member's revision."""
    results: list[int] = []

    def attempt() -> bool:
        response = submit_change(process, base=member_configuration(process)["revision"], **fields)
        if response.status_code == 200:
            results.append(response.json()["revision"])
        return response.status_code == 200

    wait_until(attempt, description="a change is accepted", timeout_s=20.0)
    return results[0]


def wait_in_force(
    processes: list[Process], member_revision: int, *, member: str = "hanbit"
) -> float:
    """Wait until ``member_revision`` or a later one is in force at all processes.

    Returns the seconds that this took.
    """
    return wait_until(
        lambda: all(
            member_configuration(process, member)["revision"] >= member_revision
            for process in processes
        ),
        description=f"revision {member_revision} is in force everywhere",
    )


def wait_for_leader(deployment: Deployment, names: tuple[str, ...] = VOTERS) -> str:
    """Wait until exactly one of the running voters in ``names`` is the leader; return its name."""
    leaders: list[str] = []

    def one_voter_leads() -> bool:
        roles = {name: state_dump(deployment.instances[name])["voter"]["role"] for name in names}
        leaders[:] = [name for name, role in roles.items() if role == "leader"]
        return len(leaders) == 1

    wait_until(one_voter_leads, description="exactly one voter is the leader")
    return leaders[0]


def run_concurrently(callables: list[Any]) -> list[Any]:
    """Run callables in parallel threads and return their results in order."""
    with concurrent.futures.ThreadPoolExecutor(max_workers=len(callables)) as pool:
        return [future.result() for future in [pool.submit(callable_) for callable_ in callables]]
