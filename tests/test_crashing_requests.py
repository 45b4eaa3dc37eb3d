"""A request that crashes every engine that runs it and is sent repeatedly."""

from __future__ import annotations

import asyncio
import itertools
import json

import httpx

from tests.calls import chat, state_dump, wait_until
from tests.conftest import HANBIT_KEY
from tests.harness import CUMBRE_TOKEN, OPERATOR_TOKEN, Deployment, Process
from tests.raw_http import RawResponse, raw_chat

CRASHING_TEXT = "crash-this-engine"
ENGINES = 4
CALLERS = 12
PROPAGATION_S = 3.0


def start_deployment(deployment: Deployment) -> None:
    for name in ("seoul-1", "seoul-2", "busan-1"):
        deployment.start_instance(name, name.rpartition("-")[0])
    for number in range(ENGINES):
        deployment.start_backend(
            f"seoul-engine-{number}",
            "engine",
            "seoul",
            ("draft",),
            *("--crash-on", CRASHING_TEXT, "--decode-ms", "10", "--prefill", "500"),
        )
    for name in deployment.instances:
        wait_until(
            lambda n=name: chat(
                deployment.caller_address(n), "draft", "x", key=HANBIT_KEY
            ).is_success,
            description=f"{name} serves",
        )
        wait_until(
            lambda n=name: len(state_dump(deployment.instances[n])["membership"]["links"]) == 2,
            description="all links are open",
        )


def exited_engines(deployment: Deployment) -> int:
    return sum(engine.popen.poll() is not None for engine in deployment.backends.values())


def verdicts(instance: Process) -> dict[str, str]:
    return {row["digest"]: row["verdict"] for row in state_dump(instance)["quarantine"]}


def lift(instance: Process, token: str, digest: str) -> bool:
    url = f"http://{instance.ready_fields['operators']}/v1/quarantine/lift?digest={digest}"
    response = httpx.post(url, headers={"authorization": f"Bearer {token}"}, trust_env=False)
    return bool(response.json()["lifted"])


def test_crashing_request_is_quarantined_everywhere_after_two_engines_and_fails_no_other_request(
    deployment: Deployment,
) -> None:
    start_deployment(deployment)
    entries = [deployment.caller_address(name) for name in deployment.instances]
    finished = asyncio.Event()
    other_responses: list[RawResponse] = []

    async def send_other_requests(caller: int) -> None:
        number = 0
        while not finished.is_set():
            text = f"innocent-{caller}-{number}"
            entry = entries[(caller + number) % len(entries)]
            response = await raw_chat(entry, "draft", text, key=HANBIT_KEY, max_tokens=4)
            assert response.status != 200 or response.chat_text() == f"{text} " * 4
            other_responses.append(response)
            number += 1

    async def send_crashing_request() -> list[RawResponse]:
        await asyncio.sleep(0.5)
        responses = []
        for number in range(12):
            entry = entries[number % len(entries)]
            responses.append(await raw_chat(entry, "draft", CRASHING_TEXT, key=HANBIT_KEY))
        await asyncio.sleep(1.0)
        finished.set()
        return responses

    async def run() -> list[RawResponse]:
        callers = [send_other_requests(caller) for caller in range(CALLERS)]
        responses, *_ = await asyncio.gather(send_crashing_request(), *callers)
        return responses

    responses = asyncio.run(run())
    assert exited_engines(deployment) == 2
    assert responses[0].problem == "request-quarantined"
    assert responses[0].outcome == "unknown"
    for response in responses[1:]:
        assert (response.status, response.outcome) == (422, "not run")
        assert int(response.headers["retry-after"]) > 60
    assert len(other_responses) > 5 * CALLERS
    assert [response.body for response in other_responses if response.chat_text() is None] == []

    wait_until(
        lambda: all(
            list(verdicts(instance).values()).count("refused") == 1
            for instance in deployment.instances.values()
        ),
        description="every instance quarantines this request and no other",
        timeout_s=PROPAGATION_S,
    )
    for instance in deployment.instances.values():
        assert CRASHING_TEXT not in json.dumps(state_dump(instance)) + "\n".join(instance.lines)
    started_later = deployment.start_instance("seoul-3", "seoul")
    wait_until(
        lambda: "refused" in verdicts(started_later).values(),
        description="an instance that starts later quarantines the request too",
        timeout_s=PROPAGATION_S + 2.0,
    )
    assert_operator_can_lift_quarantine(deployment)


def assert_operator_can_lift_quarantine(deployment: Deployment) -> None:
    instance = deployment.instances["busan-1"]
    refused = [digest for digest, verdict in verdicts(instance).items() if verdict == "refused"]
    assert not lift(instance, CUMBRE_TOKEN, refused[0])
    assert lift(instance, OPERATOR_TOKEN, refused[0])
    wait_until(
        lambda: all(
            verdicts(instance)[refused[0]] == "clear" for instance in deployment.instances.values()
        ),
        description="every instance has lifted the quarantine",
        timeout_s=PROPAGATION_S,
    )


def test_a_prompt_part_that_crashes_engines_is_quarantined_and_other_members_are_served(
    deployment: Deployment,
) -> None:
    """No two requests are alike; sound ones share the first message and are served throughout."""
    start_deployment(deployment)
    entries = [deployment.caller_address(name) for name in deployment.instances]
    numbers = itertools.count()
    sound_statuses: list[int] = []

    async def send(client: httpx.AsyncClient, *contents: str) -> httpx.Response:
        number = next(numbers)
        messages = [
            {"role": "user", "content": text} for text in ("shared", *contents, f"own {number}")
        ]
        return await client.post(
            f"http://{entries[number % len(entries)]}/v1/chat/completions",
            headers={"authorization": f"Bearer {HANBIT_KEY}"},
            json={"model": "draft", "messages": messages, "max_tokens": 4},
        )

    async def run() -> list[httpx.Response]:
        async with httpx.AsyncClient(trust_env=False, timeout=20.0) as client:
            for _ in range(40):
                sound_statuses.append((await send(client, "sound")).status_code)
            await asyncio.sleep(2.5)
            responses = []
            for _ in range(10):
                responses.append(await send(client, CRASHING_TEXT))
                sound_statuses.append((await send(client, "sound")).status_code)
            return responses

    responses = asyncio.run(run())
    assert exited_engines(deployment) <= 3
    for response in responses[-5:]:
        assert response.status_code == 422
        assert response.json()["type"].endswith("request-quarantined")
    assert set(sound_statuses) == {200}
    for instance in deployment.instances.values():
        refused = [row for row in state_dump(instance)["quarantine"] if row["verdict"] == "refused"]
        assert "part" in {row["kind"] for row in refused}
        assert CRASHING_TEXT not in json.dumps(state_dump(instance)) + "\n".join(instance.lines)
    part = next(row["digest"] for row in refused if row["kind"] == "part")
    assert not lift(instance, CUMBRE_TOKEN, part)
    assert lift(instance, OPERATOR_TOKEN, part)


def test_engines_killed_one_after_another_put_no_request_in_quarantine(
    proxied: Deployment,
) -> None:
    """Behind the proxy, connections to a dead engine are accepted and then closed."""
    start_deployment(proxied)
    entries = [proxied.caller_address(name) for name in proxied.instances]
    responses: list[RawResponse] = []

    async def call(number: int) -> None:
        text = f"innocent-{number}"
        entry = entries[number % len(entries)]
        responses.append(await raw_chat(entry, "draft", text, key=HANBIT_KEY, max_tokens=4))

    async def run() -> None:
        calls = []
        for number in range(240):
            if number in (60, 150):
                proxied.backends[f"seoul-engine-{number // 100}"].kill()
            calls.append(asyncio.create_task(call(number)))
            await asyncio.sleep(0.02)
        await asyncio.gather(*calls)

    asyncio.run(run())
    assert [response.body for response in responses if response.status == 422] == []
    for instance in proxied.instances.values():
        assert "refused" not in verdicts(instance).values()
    assert sum(response.chat_text() is not None for response in responses) >= 0.97 * len(responses)
