"""A request that crashes each engine that runs it, and is sent again and again."""

from __future__ import annotations

import asyncio
import json

import httpx

from tests.calls import chat, state, wait_until
from tests.conftest import HANBIT_KEY
from tests.harness import CUMBRE_TOKEN, OPERATOR_TOKEN, Deployment, Process
from tests.raw_http import RawAnswer, raw_chat

CRASHER = "crash-this-engine"
ENGINES = 4
CALLERS = 12
EVERYWHERE_S = 3.0


def start_all(deployment: Deployment) -> None:
    for name in ("seoul-1", "seoul-2", "busan-1"):
        deployment.start_instance(name, name.rpartition("-")[0])
    for number in range(ENGINES):
        deployment.start_backend(
            f"seoul-engine-{number}",
            "engine",
            "seoul",
            ("draft",),
            *("--crash-on", CRASHER, "--decode-ms", "10", "--prefill", "500"),
        )
    for name in deployment.instances:
        wait_until(
            lambda n=name: chat(deployment.entry(n), "draft", "x", key=HANBIT_KEY).is_success,
            what=f"{name} serves",
        )
        wait_until(
            lambda n=name: len(state(deployment.instances[n])["membership"]["links"]) == 2,
            what="all links are open",
        )


def engines_lost(deployment: Deployment) -> int:
    return sum(engine.popen.poll() is not None for engine in deployment.backends.values())


def verdicts(instance: Process) -> dict[str, str]:
    return {one["digest"]: one["verdict"] for one in state(instance)["quarantine"]}


def lift(instance: Process, token: str, digest: str) -> bool:
    url = f"http://{instance.fields['operators']}/v1/quarantine/lift?digest={digest}"
    answer = httpx.post(url, headers={"authorization": f"Bearer {token}"}, trust_env=False)
    return bool(answer.json()["lifted"])


def test_crashing_request_is_refused_everywhere_after_two_engines_and_spares_its_batch_mates(
    deployment: Deployment,
) -> None:
    start_all(deployment)
    entries = [deployment.entry(name) for name in deployment.instances]
    stopped = asyncio.Event()
    innocents: list[RawAnswer] = []

    async def innocent(caller: int) -> None:
        number = 0
        while not stopped.is_set():
            text = f"innocent-{caller}-{number}"
            entry = entries[(caller + number) % len(entries)]
            answer = await raw_chat(entry, "draft", text, key=HANBIT_KEY, max_tokens=4)
            assert answer.status != 200 or answer.chat_text() == f"{text} " * 4
            innocents.append(answer)
            number += 1

    async def crash_again_and_again() -> list[RawAnswer]:
        await asyncio.sleep(0.5)
        answers = []
        for number in range(12):
            entry = entries[number % len(entries)]
            answers.append(await raw_chat(entry, "draft", CRASHER, key=HANBIT_KEY))
        await asyncio.sleep(1.0)
        stopped.set()
        return answers

    async def run() -> list[RawAnswer]:
        callers = [innocent(caller) for caller in range(CALLERS)]
        answers, *_ = await asyncio.gather(crash_again_and_again(), *callers)
        return answers

    answers = asyncio.run(run())
    assert engines_lost(deployment) == 2
    assert answers[0].problem == "request-quarantined"
    assert answers[0].outcome == "unknown"
    for answer in answers[1:]:
        assert (answer.status, answer.outcome) == (422, "not run")
        assert int(answer.headers["retry-after"]) > 60
    assert len(innocents) > 5 * CALLERS
    assert [answer.body for answer in innocents if answer.chat_text() is None] == []

    wait_until(
        lambda: all(
            list(verdicts(one).values()).count("refused") == 1
            for one in deployment.instances.values()
        ),
        what="every instance refuses it, and nothing else",
        timeout_s=EVERYWHERE_S,
    )
    for instance in deployment.instances.values():
        assert CRASHER not in json.dumps(state(instance)) + "\n".join(instance.lines)
    newcomer = deployment.start_instance("seoul-3", "seoul")
    wait_until(
        lambda: "refused" in verdicts(newcomer).values(),
        what="an instance that starts later refuses it too",
        timeout_s=EVERYWHERE_S + 2.0,
    )
    assert_operator_lifts_it(deployment)


def assert_operator_lifts_it(deployment: Deployment) -> None:
    one = deployment.instances["busan-1"]
    refused = [digest for digest, verdict in verdicts(one).items() if verdict == "refused"]
    assert not lift(one, CUMBRE_TOKEN, refused[0])
    assert lift(one, OPERATOR_TOKEN, refused[0])
    wait_until(
        lambda: all(
            verdicts(instance)[refused[0]] == "clear" for instance in deployment.instances.values()
        ),
        what="every instance has lifted it",
        timeout_s=EVERYWHERE_S,
    )


def test_engines_that_die_one_after_another_put_no_request_in_quarantine(
    proxied: Deployment,
) -> None:
    """Behind the proxy a dead engine's connections are accepted and then closed."""
    start_all(proxied)
    entries = [proxied.entry(name) for name in proxied.instances]
    answers: list[RawAnswer] = []

    async def call(number: int) -> None:
        text = f"innocent-{number}"
        entry = entries[number % len(entries)]
        answers.append(await raw_chat(entry, "draft", text, key=HANBIT_KEY, max_tokens=4))

    async def run() -> None:
        calls = []
        for number in range(240):
            if number in (60, 150):
                proxied.backends[f"seoul-engine-{number // 100}"].kill()
            calls.append(asyncio.create_task(call(number)))
            await asyncio.sleep(0.02)
        await asyncio.gather(*calls)

    asyncio.run(run())
    assert [answer.body for answer in answers if answer.status == 422] == []
    for instance in proxied.instances.values():
        assert "refused" not in verdicts(instance).values()
    assert sum(answer.chat_text() is not None for answer in answers) >= 0.97 * len(answers)
