"""Runs three regions with stand-in backend servers and sends requests to them."""

from __future__ import annotations

import json
import pathlib
import subprocess
import sys
import tempfile
import time

import httpx

from tests.calls import wait_for_ledger
from tests.harness import Deployment, Process

KEY = "hanbit-desk-key"
REGIONS = ("seoul", "busan", "daejeon")
EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / "examples"
INTAKE_FORM = (
    "신규 고객 접수 양식. 2024년 종합소득세 신고서: 사업소득 48,200,000원, 필요경비 31,050,000원. "
    "2023년 재무제표: 유동자산 12,400,000원, 매출채권 3,100,000원. "
    "누락 서류를 표시하고 업무 요약을 작성하십시오."
)


def main() -> None:
    """Start all processes, send the requests and stop the processes."""
    with tempfile.TemporaryDirectory() as folder, Deployment(pathlib.Path(folder)) as deployment:
        configuration = deployment.folder / "configuration.yaml"
        generate(configuration)
        deployment.write_clients(("desk", "hanbit", "seoul", KEY))
        for region in REGIONS:
            name = f"{region}-1"
            deployment.start_instance(name, region, data_folder=str(deployment.folder / name))
        deployment.start_backend("engine-1", "engine", "seoul", ("draft", "desk-chat"))
        deployment.start_backend("engine-2", "engine", "busan", ("draft", "desk-chat"))
        deployment.start_backend("records-1", "records", "daejeon", ("intake-records",))
        entry = deployment.instances["seoul-1"].ready_fields["callers"]
        wait_until_served(entry)
        wait_for_ledger(deployment.instances["seoul-1"])
        send_requests(entry, other_entry=deployment.instances["busan-1"].ready_fields["callers"])
        stop_all([*deployment.instances.values(), *deployment.backends.values()])
    print("demo finished: every process stopped gracefully")


def generate(path: pathlib.Path) -> None:
    """Generate the configuration with the command-line tool."""
    answers = str(EXAMPLES / "hanbit.answers.yaml")
    command = [sys.executable, "-m", "figpaddle.tool", "generate", "--answers", answers]
    subprocess.run([*command, "--output", str(path)], check=True)


def call(entry: str, method: str, path: str, **options: object) -> httpx.Response:
    """Send one request as the client."""
    headers = {"authorization": f"Bearer {KEY}", **options.pop("headers", {})}  # type: ignore
    return httpx.request(
        method, f"http://{entry}{path}", headers=headers, timeout=20, trust_env=False, **options
    )


def wait_until_served(entry: str) -> None:
    """Wait until the entry instance serves all services, and exit if it doesn't in time."""
    deadline = time.monotonic() + 20
    while time.monotonic() < deadline:
        codes = [
            call(entry, "GET", "/services/intake-records/").status_code,
            call(entry, "POST", "/v1/chat/completions", json=chat("draft", "ping")).status_code,
        ]
        if codes == [200, 200]:
            return
        time.sleep(0.2)
    sys.exit("the services did not become available")


def chat(model: str, text: str, **options: object) -> dict[str, object]:
    """Return the body of a chat completion."""
    return {"model": model, "messages": [{"role": "user", "content": text}], **options}


def send_requests(entry: str, *, other_entry: str) -> None:
    """Send an intake form, one filing to two entry instances, and a chat; print each response."""
    intake_request = chat("draft", INTAKE_FORM, stream=True, max_tokens=24)
    response = call(entry, "POST", "/v1/chat/completions", json=intake_request)
    print_response("intake form", response, streamed_text(response))
    filing_request = {
        "content": b'{"engagement": "2026-0117"}',
        "headers": {"idempotency-key": "f-0117"},
    }
    first, repeated = (
        call(address, "POST", "/services/intake-records/filings", **filing_request)
        for address in (entry, other_entry)
    )
    print_response("filing", first, first.text)
    print_response("filing sent again through another region", repeated, repeated.text)
    if repeated.headers.get("figpaddle-replayed") != "true" or repeated.content != first.content:
        sys.exit("the repeated filing was not answered with the recorded response")
    print("    the recorded response was replayed: the filing was executed once")
    response = call(entry, "POST", "/v1/chat/completions", json=chat("desk-chat", "안녕하세요"))
    print_response("chat", response, response.json()["choices"][0]["message"]["content"])


def streamed_text(response: httpx.Response) -> str:
    """Return the text of a streamed response."""
    events = [line[6:] for line in response.text.splitlines() if line.startswith("data: ")]
    if events[-1] != "[DONE]":
        sys.exit("the response stream is incomplete")
    return "".join(json.loads(event)["choices"][0]["delta"]["content"] for event in events[:-1])


def print_response(title: str, response: httpx.Response, text: str) -> None:
    """Print one response and its region, instance and backend server."""
    if response.is_error:
        sys.exit(f"{title}: {response.status_code} {response.text}")
    served_by = " ".join(
        f"{name}={response.headers.get('figpaddle-' + name, '-')}"
        for name in ("region", "instance", "backend")
    )
    print(f"{title}: {response.status_code} {served_by}\n    {text.strip()}")


def stop_all(processes: list[Process]) -> None:
    """Stop every process gracefully."""
    for process in processes:
        process.popen.terminate()
    for process in processes:
        code = process.popen.wait(30)
        if code != 0:
            sys.exit(f"{process.name} exited with code {code}\n{process.tail()}")


if __name__ == "__main__":
    main()
