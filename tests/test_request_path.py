"""Requests from a caller through figpaddle to a backend server, and their responses."""

from __future__ import annotations

import concurrent.futures
import pathlib
from collections.abc import Iterator

import pytest

from tests.calls import call, chat, state_dump, streamed_words, wait_for_ledger, wait_until
from tests.conftest import CUMBRE_KEY, HANBIT_KEY, write_examples
from tests.harness import Deployment


@pytest.fixture(scope="module")
def running(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Deployment]:
    folder: pathlib.Path = tmp_path_factory.mktemp("path")
    with Deployment(folder) as deployment:
        write_examples(deployment)
        for region in ("seoul", "busan"):
            deployment.start_instance(f"{region}-1", region)
        deployment.start_backend("engine-1", "engine", "seoul", ("draft", "desk-chat"))
        deployment.start_backend("records-1", "records", "busan", ("intake-records",))
        entry = deployment.instances["seoul-1"].ready_fields["callers"]
        wait_until(
            lambda: chat(entry, "draft", "x", key=HANBIT_KEY).is_success
            and call(entry, "GET", "/services/intake-records/", key=HANBIT_KEY).is_success,
            description="both services respond",
        )
        wait_for_ledger(deployment.instances["seoul-1"])
        yield deployment


def entry(deployment: Deployment, name: str) -> str:
    return deployment.instances[name].ready_fields["callers"]


@pytest.mark.parametrize("name", ["seoul-1", "busan-1"])
def test_streams_a_complete_response_through_any_entry(running: Deployment, name: str) -> None:
    response = chat(
        entry(running, name), "draft", "신고서 요약", key=HANBIT_KEY, stream=True, max_tokens=9
    )
    assert response.headers["figpaddle-region"] == "seoul"
    assert len(streamed_words(response.text)) == 9


def test_application_call_is_forwarded_to_the_region_of_its_service(running: Deployment) -> None:
    response = call(
        entry(running, "seoul-1"),
        "POST",
        "/services/intake-records/filings",
        key=HANBIT_KEY,
        content=b"x" * 300_000,
        headers={"idempotency-key": "one"},
    )
    assert response.status_code == 201
    assert response.headers["figpaddle-region"] == "busan"
    assert response.json()["run"] == 1


@pytest.mark.parametrize(
    ("key", "model", "status", "problem"),
    [
        ("wrong", "draft", 401, "unauthorized"),
        (CUMBRE_KEY, "draft", 421, "region-not-allowed"),
        (CUMBRE_KEY, "no-such-model", 421, "region-not-allowed"),
        (HANBIT_KEY, "dossiers", 403, "forbidden"),
        (HANBIT_KEY, "no-such-model", 403, "forbidden"),
        (HANBIT_KEY, "intake-records", 403, "forbidden"),
    ],
)
def test_refusal_does_not_reveal_which_models_exist(
    running: Deployment, key: str, model: str, status: int, problem: str
) -> None:
    response = chat(entry(running, "seoul-1"), model, "x", key=key)
    assert response.status_code == status
    document = response.json()
    assert document["type"] == f"urn:figpaddle:problem:{problem}"
    assert document["outcome"] == "not run"


def test_service_of_one_member_never_gets_another_members_request(
    deployment: Deployment,
) -> None:
    instance = deployment.start_instance("highlands-1", "highlands")
    deployment.start_backend("rival-engine", "engine", "highlands", ("hanbit/chat",))
    wait_until(lambda: bool(state_dump(instance)["backends"]), description="the engine is known")
    response = chat(instance.ready_fields["callers"], "chat", "x", key=CUMBRE_KEY)
    assert response.status_code == 503
    assert response.json()["type"] == "urn:figpaddle:problem:no-backend-server"


def test_lookup_lists_serving_instances_home_region_first(running: Deployment) -> None:
    response = call(entry(running, "busan-1"), "GET", "/v1/entries", key=HANBIT_KEY).json()
    assert [item["instance"] for item in response["entries"]] == ["seoul-1", "busan-1"]
    assert response["ttl_s"] > 0


def test_planned_stop_interrupts_no_stream_in_progress(deployment: Deployment) -> None:
    instance = deployment.start_instance("seoul-1", "seoul")
    deployment.start_backend("engine-1", "engine", "seoul", ("draft",), "--decode-ms", "50")
    address = instance.ready_fields["callers"]
    wait_until(
        lambda: chat(address, "draft", "x", key=HANBIT_KEY, max_tokens=1).is_success,
        description="the engine responds",
    )
    with concurrent.futures.ThreadPoolExecutor() as pool:
        stream = pool.submit(
            chat, address, "draft", "long", key=HANBIT_KEY, stream=True, max_tokens=100
        )
        wait_until(lambda: in_progress(deployment) == 1, description="the stream runs")
        assert instance.stop() == 0
        assert len(streamed_words(stream.result().text)) == 100


def in_progress(deployment: Deployment) -> int:
    return int(state_dump(deployment.instances["seoul-1"])["in_progress"])
