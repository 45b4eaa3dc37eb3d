"""Shows the main job: three regions, stand-in backend servers and real requests."""

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
    """Start everything, send the requests, stop everything."""
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
        entry = deployment.instances["seoul-1"].fields["callers"]
        wait_until_served(entry)
        wait_for_ledger(deployment.instances["seoul-1"])
        send_requests(entry, other=deployment.instances["busan-1"].fields["callers"])
        stop_all([*deployment.instances.values(), *deployment.backends.values()])
    print("demo finished: every process stopped gracefully")


def generate(path: pathlib.Path) -> None:
    """Generate the configuration with the operators' tool."""
    answers = str(EXAMPLES / "hanbit.answers.yaml")
    command = [sys.executable, "-m", "figpaddle.tool", "generate", "--answers", answers]
    subprocess.run([*command, "--output", str(path)], check=True)


def call(entry: str, method: str, path: str, **options: object) -> httpx.Response:
    """Send one request of the client."""
    headers = {"authorization": f"Bearer {KEY}", **options.pop("headers", {})}  # type: ignore
    return httpx.request(
        method, f"http://{entry}{path}", headers=headers, timeout=20, trust_env=False, **options
    )


def wait_until_served(entry: str) -> None:
    """Return once every service has a backend server that the entry instance knows of."""
    deadline = time.monotonic() + 20
    while time.monotonic() < deadline:
        codes = [
            call(entry, "GET", "/services/intake-records/").status_code,
            call(entry, "POST", "/v1/chat/completions", json=chat("draft", "ping")).status_code,
        ]
        if codes == [200, 200]:
            return
        time.sleep(0.2)
    sys.exit("the services did not come up")


def chat(model: str, text: str, **options: object) -> dict[str, object]:
    """Return the body of a chat completion."""
    return {"model": model, "messages": [{"role": "user", "content": text}], **options}


def send_requests(entry: str, *, other: str) -> None:
    """Send an intake form, a filing to two entries, and a chat; print each answer."""
    form = chat("draft", INTAKE_FORM, stream=True, max_tokens=24)
    answer = call(entry, "POST", "/v1/chat/completions", json=form)
    show("intake form", answer, streamed_text(answer))
    filing = {"content": b'{"engagement": "2026-0117"}', "headers": {"idempotency-key": "f-0117"}}
    first, again = (
        call(address, "POST", "/services/intake-records/filings", **filing)
        for address in (entry, other)
    )
    show("filing", first, first.text)
    show("filing sent again through another region", again, again.text)
    if again.headers.get("figpaddle-replayed") != "true" or again.content != first.content:
        sys.exit("the filing was not answered from its record")
    print("    replayed from the record at home: it ran once")
    answer = call(entry, "POST", "/v1/chat/completions", json=chat("desk-chat", "안녕하세요"))
    show("chat", answer, answer.json()["choices"][0]["message"]["content"])


def streamed_text(answer: httpx.Response) -> str:
    """Return the text of a streamed answer."""
    events = [line[6:] for line in answer.text.splitlines() if line.startswith("data: ")]
    if events[-1] != "[DONE]":
        sys.exit("the stream did not end whole")
    return "".join(json.loads(event)["choices"][0]["delta"]["content"] for event in events[:-1])


def show(title: str, answer: httpx.Response, text: str) -> None:
    """Print one answer and where it was served."""
    if answer.is_error:
        sys.exit(f"{title}: {answer.status_code} {answer.text}")
    where = " ".join(
        f"{name}={answer.headers.get('figpaddle-' + name, '-')}"
        for name in ("region", "instance", "backend")
    )
    print(f"{title}: {answer.status_code} {where}\n    {text.strip()}")


def stop_all(processes: list[Process]) -> None:
    """Stop every process gracefully."""
    for process in processes:
        process.popen.terminate()
    for process in processes:
        code = process.popen.wait(30)
        if code != 0:
            sys.exit(f"{process.name} ended with {code}\n{process.tail()}")


if __name__ == "__main__":
    main()
