"""Which data the operators' port shows, and to which operators."""

from __future__ import annotations

import pathlib
from collections.abc import Iterator

import httpx
import pytest

from tests.calls import CALL_TIMEOUT_S, chat, state_dump, wait_until
from tests.conftest import HANBIT_KEY, write_examples
from tests.harness import CUMBRE_TOKEN, OPERATOR_TOKEN, Deployment, Process

PROMPT_MARKER = "텍스트-표식-9f3a"


@pytest.fixture(scope="module")
def instance(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Process]:
    folder: pathlib.Path = tmp_path_factory.mktemp("operators")
    with Deployment(folder) as deployment:
        write_examples(deployment)
        process = deployment.start_instance("seoul-1", "seoul")
        deployment.start_backend("engine-1", "engine", "seoul", ("draft", "cumbre/chat"))
        deployment.start_backend("engine-2", "engine", "seoul", ("draft",))
        entry = process.ready_fields["callers"]
        wait_until(
            lambda: len(state_dump(process)["backends"]) == 2, description="both engines are known"
        )
        assert chat(entry, "draft", PROMPT_MARKER, key=HANBIT_KEY).is_success
        yield process


def get(instance: Process, path: str, token: str, method: str = "GET") -> httpx.Response:
    url = f"http://{instance.ready_fields['operators']}{path}"
    headers = {"authorization": f"Bearer {token}"}
    return httpx.request(method, url, headers=headers, timeout=CALL_TIMEOUT_S, trust_env=False)


@pytest.mark.parametrize("path", ["/v1/state", "/metrics"])
def test_request_with_an_invalid_token_is_refused(instance: Process, path: str) -> None:
    assert get(instance, path, "wrong").status_code == 401


@pytest.mark.parametrize("path", ["/v1/state", "/metrics"])
def test_nothing_shown_holds_clients_data_or_keys(instance: Process, path: str) -> None:
    body = get(instance, path, OPERATOR_TOKEN).text
    assert "hanbit/draft" in body
    assert PROMPT_MARKER not in body
    assert HANBIT_KEY not in body
    assert PROMPT_MARKER not in "\n".join(instance.lines)


@pytest.mark.parametrize("path", ["/v1/state", "/metrics"])
def test_operator_of_a_member_sees_nothing_of_another(instance: Process, path: str) -> None:
    body = get(instance, path, CUMBRE_TOKEN).text
    assert "hanbit" not in body
    assert "waiting" not in body


def test_operator_of_a_member_may_not_stop_an_instance(instance: Process) -> None:
    assert get(instance, "/v1/stop", CUMBRE_TOKEN, "POST").status_code == 403


def test_metrics_give_percentiles_of_each_stage(instance: Process) -> None:
    body = get(instance, "/metrics", OPERATOR_TOKEN).text
    for stage in ("first_byte", "whole"):
        labels = f'stage="{stage}",service="hanbit/draft",priority="1"'
        assert f"figpaddle_stage_count{{{labels}}} 1" in body
        assert f'figpaddle_stage_seconds{{{labels},quantile="0.99"}}' in body
    assert 'figpaddle_requests_total{service="hanbit/draft",result="answered"} 1' in body
