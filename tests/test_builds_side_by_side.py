"""The builds of earlier commits run beside this one while processes are replaced one at a time."""

from __future__ import annotations

import json
import pathlib
import signal
import subprocess
from typing import Any

import anyio
import pytest

from tests.platform_standin import (
    MODEL_SERVICE,
    WAIT_TIMEOUT_S,
    PlatformDeployment,
    configuration,
    platform_deployment,
)
from tests.test_silent_backend_servers import (
    EVENT_INTERVAL_S,
    EVENTS,
    LONG_SILENCE_S,
    assert_whole,
    patient_configuration,
    run_streams,
)

pytestmark = pytest.mark.anyio

ROOT = pathlib.Path(__file__).parent.parent
#: The last two builds that were deployed.
EARLIER_BUILDS = ["fea7b96", "cf33a69"]
#: The last build whose voters stay those of the first start.
FIXED_VOTERS_BUILD = "46c35a8"
#: The last build whose entries state no further attempts within a forwarded stream.
SILENT_ATTEMPTS_BUILD = "784336a"
PROCESSES = ("m-1", "m-2", "m-3", "m-4", "m-5", "m-6")
ENTRIES = ("m-4", "m-5", "m-6")
REQUEST_INTERVAL_S = 0.04


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


def is_shallow_clone() -> bool:
    """Return whether the repository lacks earlier commits."""
    command = ["git", "rev-parse", "--is-shallow-repository"]
    answer = subprocess.run(command, cwd=ROOT, check=True, capture_output=True, text=True)
    return answer.stdout.strip() == "true"


def unpack_build(commit: str, folder: pathlib.Path) -> pathlib.Path:
    """Write the programs of a commit to a folder."""
    archive = subprocess.run(
        ["git", "archive", commit, "figpaddle", "platform"],
        cwd=ROOT,
        check=True,
        capture_output=True,
    )
    subprocess.run(["tar", "-x", "-C", str(folder)], input=archive.stdout, check=True)
    return folder


class MixedDeployment(PlatformDeployment):
    """A deployment whose processes may run different builds."""

    roots: dict[str, pathlib.Path]
    default_root = ROOT

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self.roots = {}

    def root_of(self, name: str) -> pathlib.Path:
        return self.roots.get(name, self.default_root)

    def environment_of(self, name: str) -> dict[str, str]:
        # The package would else come from the folder in which the tests run.
        return {"PYTHONPATH": str(self.root_of(name))}


@pytest.mark.skipif(is_shallow_clone(), reason="a shallow clone has no earlier builds")
@pytest.mark.parametrize("order", ["to this build", "back to the earlier one"])
@pytest.mark.parametrize("commit", [*EARLIER_BUILDS, FIXED_VOTERS_BUILD])
async def test_processes_are_replaced_one_at_a_time_without_failing_requests(
    commit: str, order: str, tmp_path: pathlib.Path
) -> None:
    earlier = unpack_build(commit, tmp_path)
    first, second = (earlier, ROOT) if order == "to this build" else (ROOT, earlier)

    class Deployment(MixedDeployment):
        default_root = first

    async with platform_deployment(make_deployment=Deployment) as platform:
        assert isinstance(platform, Deployment)
        results: list[tuple[str, str, int]] = []
        replaced = ""
        async with anyio.create_task_group() as tasks:

            async def send(entry: str, path: str) -> None:
                _, reply = await platform.send_request(entry, path)
                results.append((entry, path, reply.status))

            async def send_steadily() -> None:
                paths = ("/read/1", "/plan/1", "/hold/1", "/chat/1")
                number = 0
                while True:
                    number += 1
                    entry = ENTRIES[number % len(ENTRIES)]
                    if entry != replaced:
                        tasks.start_soon(send, entry, paths[number % len(paths)])
                    await anyio.sleep(REQUEST_INTERVAL_S)

            tasks.start_soon(send_steadily)
            await anyio.sleep(1.0)
            for version, name in enumerate(PROCESSES, start=2):
                replaced = name
                platform.signal(name, signal.SIGTERM)
                platform.roots[name] = second
                await platform.restart(name)
                if name in ENTRIES:
                    await platform.wait_until_ready(name)
                change = configuration(version)
                reply = await platform.send_operator_command("POST", "/v1/config/put", change)
                assert reply.status == 200
                await anyio.sleep(1.0)
                replaced = ""
                await anyio.sleep(0.5)
            await anyio.sleep(1.0)
            tasks.cancel_scope.cancel()
        failed = [result for result in results if result[2] != 200]
        assert len(results) > 200
        assert not failed
        for name in PROCESSES:
            assert "unreadable" not in platform.log(name), name


@pytest.mark.skipif(is_shallow_clone(), reason="a shallow clone has no earlier builds")
@pytest.mark.parametrize("earlier_entries", [("m-6",), ("m-4", "m-5")], ids=["sender", "server"])
async def test_streams_between_builds_are_whole_beside_a_server_that_falls_silent(
    earlier_entries: tuple[str, ...], tmp_path: pathlib.Path
) -> None:
    earlier = unpack_build(SILENT_ATTEMPTS_BUILD, tmp_path)

    class Deployment(MixedDeployment):
        def root_of(self, name: str) -> pathlib.Path:
            return earlier if name in earlier_entries else ROOT

    async with platform_deployment(engines=False, make_deployment=Deployment) as platform:
        for _ in range(3):
            await platform.add_engine(MODEL_SERVICE, "n-a", slots=100)
        await platform.send_operator_command("POST", "/v1/config/put", patient_configuration(2))
        with anyio.fail_after(WAIT_TIMEOUT_S):
            while (await platform.send_request("m-6", "/plan/1"))[1].status != 200:
                await anyio.sleep(0.1)
        for engine in platform.engines:
            engine.event_count, engine.event_interval_s = EVENTS, EVENT_INTERVAL_S
        # Until all entries have the configuration.
        await anyio.sleep(1.0)
        replies = await run_streams(
            platform, count=12, silent=1, silent_for_s=LONG_SILENCE_S, entry="m-6"
        )
        assert_whole(platform, replies, 12)
        assert all(b"\n: " not in reply.body for reply in replies)


async def confirm(platform: PlatformDeployment, version: int) -> None:
    change = configuration(version)
    assert (await platform.send_operator_command("POST", "/v1/config/put", change)).status == 200


@pytest.mark.skipif(is_shallow_clone(), reason="a shallow clone has no earlier builds")
async def test_a_successor_votes_once_no_earlier_build_runs_and_earlier_entries_read_its_state(
    tmp_path: pathlib.Path,
) -> None:
    # Guards against a set of voters that an earlier build doesn't know and counts without.
    earlier = unpack_build(FIXED_VOTERS_BUILD, tmp_path)

    class Deployment(MixedDeployment):
        default_root = earlier

    async with platform_deployment(make_deployment=Deployment) as platform:
        assert isinstance(platform, Deployment)

        async def update(name: str) -> None:
            platform.signal(name, signal.SIGTERM)
            platform.roots[name] = ROOT
            await platform.restart(name)
            await anyio.sleep(1.0)

        await update("m-1")
        await update("m-2")
        platform.roots["m-7"] = ROOT
        await platform.replace_control("m-1", "m-7")
        await anyio.sleep(5.0)
        await confirm(platform, 2)
        assert "voters_proposed" not in platform.log("m-2") + platform.log("m-7")
        await update("m-3")
        await platform.wait_for_voter("m-7")
        platform.signal("m-2", signal.SIGKILL)
        await platform.wait_for_exit("m-2")
        await confirm(platform, 3)
        for name in ENTRIES:
            with anyio.fail_after(WAIT_TIMEOUT_S):
                while "version=3" not in platform.log(name):
                    await anyio.sleep(0.05)
            assert (await platform.send_request(name, "/read/1"))[1].status == 200
            assert "unreadable" not in platform.log(name)


@pytest.mark.skipif(is_shallow_clone(), reason="a shallow clone has no earlier builds")
async def test_an_earlier_build_counts_with_the_voters_after_a_replacement(
    tmp_path: pathlib.Path,
) -> None:
    # Guards against a step back to an earlier build that asks the voters of the first start.
    earlier = unpack_build(FIXED_VOTERS_BUILD, tmp_path)
    async with platform_deployment(make_deployment=MixedDeployment) as platform:
        assert isinstance(platform, MixedDeployment)
        await confirm(platform, 2)
        await platform.replace_control("m-1", "m-7")
        await platform.wait_for_voter("m-7")
        for name in ("m-2", "m-3", "m-7"):
            platform.signal(name, signal.SIGTERM)
            platform.roots[name] = earlier
            await platform.restart(name)
            await anyio.sleep(1.0)
        reply = await platform.send_operator_command("GET", "/v1/config/get")
        assert json.loads(reply.body)["version"] == 2
        platform.signal("m-2", signal.SIGKILL)
        await platform.wait_for_exit("m-2")
        await confirm(platform, 3)
