"""Changes of the configuration, and deployments with voters, for the integration tests."""

from __future__ import annotations

import concurrent.futures
import uuid
from typing import Any

import httpx

from tests.calls import CALL_TIMEOUT_S, state, wait_until
from tests.harness import OPERATOR_TOKEN, Deployment, Process

VOTERS = ("seoul-1", "busan-1", "daejeon-1")


def start_voters(
    deployment: Deployment, *, voters: tuple[str, ...] = VOTERS, others: tuple[str, ...] = ()
) -> None:
    """Start voters and instances without a disk, and wait until the deployment is whole.

    It is whole once all have the configuration and know each other: news of an instance that
    joins travels with probes, and may come after the configuration.
    """
    for name in voters:
        start(deployment, name, voters=voters, disk=True)
    for name in others:
        start(deployment, name, voters=voters, disk=False)
    for name in (*voters, *others):
        process = deployment.instances[name]
        wait_until(lambda p=process: revision(p) >= 2, what=f"{name} has the configuration")
        wait_until(
            lambda p=process: known_instances(p) == {*voters, *others},
            what=f"{name} knows the other instances",
        )


def start(
    deployment: Deployment, name: str, *, voters: tuple[str, ...] = VOTERS, disk: bool
) -> Process:
    settings: dict[str, Any] = {"control": {"voters": list(voters)}}
    if disk:
        settings["data_folder"] = f"data-{name}"
    return deployment.start_instance(name, name.rsplit("-", 1)[0], **settings)


def known_instances(process: Process) -> set[str]:
    """Return the names of the instances that ``process`` knows, its own among them."""
    return {str(row["name"]) for row in state(process)["membership"]["instances"]}


def revision(process: Process) -> int:
    number: int = state(process)["configuration"]["revision"]
    return number


def request(
    process: Process,
    method: str,
    path: str,
    *,
    token: str = OPERATOR_TOKEN,
    plain: Any = None,
    timeout_s: float = CALL_TIMEOUT_S,
) -> httpx.Response:
    return httpx.request(
        method,
        f"http://{process.fields['operators']}/v1/configuration{path}",
        headers={"authorization": f"Bearer {token}"},
        json=plain,
        timeout=timeout_s,
        trust_env=False,
    )


def part(process: Process, member: str = "hanbit") -> Any:
    """Return one member's part as the instance has it in force."""
    return request(process, "GET", "").json()["members"][member]


def change(
    process: Process,
    *,
    base: int,
    member: str = "hanbit",
    timeout_s: float = CALL_TIMEOUT_S,
    command_id: str | None = None,
    token: str = OPERATOR_TOKEN,
    **fields: Any,
) -> httpx.Response:
    """Change fields of a member's configuration."""
    configuration = {**part(process, member)["configuration"], **fields}
    plain = {
        "command_id": command_id or uuid.uuid4().hex,
        "base_revision": base,
        "configuration": configuration,
    }
    return request(process, "PUT", f"/{member}", token=token, plain=plain, timeout_s=timeout_s)


def accepted(process: Process, **fields: Any) -> int:
    """Make a change on the newest base until one is accepted; return the part's revision."""
    results: list[int] = []

    def attempt() -> bool:
        answer = change(process, base=part(process)["revision"], **fields)
        if answer.status_code == 200:
            results.append(answer.json()["revision"])
        return answer.status_code == 200

    wait_until(attempt, what="a change is accepted", timeout_s=20.0)
    return results[0]


def wait_in_force(processes: list[Process], part_revision: int, *, member: str = "hanbit") -> float:
    """Return the seconds until all have at least ``part_revision`` in force."""
    return wait_until(
        lambda: all(part(process, member)["revision"] >= part_revision for process in processes),
        what=f"revision {part_revision} is in force everywhere",
    )


def leader(deployment: Deployment, names: tuple[str, ...] = VOTERS) -> str:
    """Return the name of the voter that leads, as the running voters in ``names`` see it."""
    found: list[str] = []

    def look() -> bool:
        roles = {name: state(deployment.instances[name])["voter"]["role"] for name in names}
        found[:] = [name for name, role in roles.items() if role == "leader"]
        return len(found) == 1

    wait_until(look, what="one leader")
    return found[0]


def at_once(calls: list[Any]) -> list[Any]:
    """Run callables at the same time and return their results in order."""
    with concurrent.futures.ThreadPoolExecutor(max_workers=len(calls)) as pool:
        return [future.result() for future in [pool.submit(call) for call in calls]]
