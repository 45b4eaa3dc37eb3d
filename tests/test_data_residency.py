"""Requests, responses and data retained of them stay in the allowed regions; no request loops."""

from __future__ import annotations

import asyncio
import collections
import json
import re

import yaml

from figpaddle.wire import (
    ForwardAlive,
    ForwardBody,
    ForwardFailed,
    ForwardOpen,
    LinkPurpose,
    Message,
    RegionSummary,
    ServiceSummary,
)
from tests.calls import call, chat, state_dump, wait_until
from tests.conftest import HANBIT_KEY
from tests.fault_proxy import FaultProxy
from tests.harness import Deployment
from tests.raw_http import NO_RESPONSE, RawConnection, RawResponse, head_bytes, raw_chat
from tests.raw_peer import raw_peer

REGIONS = ("seoul", "busan", "daejeon")
#: Without Busan, which routing would prefer among regions that are otherwise equal.
ALLOWED = ("seoul", "daejeon")


def write_configuration(deployment: Deployment, name: str, regions: tuple[str, ...]) -> str:
    """Write a configuration whose draft service is allowed in ``regions`` only; return its name."""
    document = yaml.safe_load((deployment.folder / "configuration.yaml").read_text())
    for member in document["members"]:
        for service in member["services"]:
            if service["name"] == "draft":
                service["regions"] = list(regions)
    deployment.write_yaml(name, document)
    return name


def proxy_of(deployment: Deployment) -> FaultProxy:
    assert deployment.proxy is not None
    return deployment.proxy


def start_regions(deployment: Deployment, **configurations: str) -> None:
    for region in REGIONS:
        deployment.start_instance(
            f"{region}-1", region, configuration=configurations.get(region, "restricted.yaml")
        )


def send_all(deployment: Deployment, entry: str, markers: list[str]) -> list[RawResponse]:
    async def run() -> list[RawResponse]:
        address = deployment.caller_address(entry)
        requests = (
            raw_chat(address, "draft", marker, key=HANBIT_KEY, stream=bool(index % 2), max_tokens=2)
            for index, marker in enumerate(markers)
        )
        return await asyncio.gather(*requests)

    return asyncio.run(run())


def make_markers(phase: str) -> list[str]:
    return [f"marker-{phase}-{index}-" for index in range(20)]


def processes_that_saw(deployment: Deployment, markers: list[str]) -> set[str]:
    """Return the processes that exchanged a marker with another process.

    Connections of callers don't count: a caller may send its request to any region.
    """
    processes: set[str] = set()
    for ends, data in proxy_of(deployment).recorded().items():
        if "outside" not in ends and any(marker.encode() in data for marker in markers):
            processes |= set(ends)
    return processes


def knows_backends(deployment: Deployment, instance: str, count: int) -> bool:
    return len(state_dump(deployment.instances[instance])["backends"]) == count


def test_request_data_reaches_no_region_that_is_not_allowed(proxied: Deployment) -> None:
    proxy = proxy_of(proxied)
    proxy.record()
    write_configuration(proxied, "restricted.yaml", ALLOWED)
    start_regions(proxied)
    for region in REGIONS:
        proxied.start_backend(f"{region}-engine", "engine", region, ("draft",), "--slots", "64")
    for region in REGIONS:
        wait_until(
            lambda r=region: knows_backends(proxied, f"{r}-1", 1), description="engines are known"
        )

    home = make_markers("home")
    assert [a.body for a in send_all(proxied, "seoul-1", home) if not a.chat_text()] == []
    disallowed = make_markers("outside")
    for response in send_all(proxied, "busan-1", disallowed):
        assert (response.status, response.problem, response.outcome) == (
            421,
            "region-not-allowed",
            "not run",
        )
    spillover = make_markers("spilled")
    proxied.backends["seoul-engine"].kill()
    entry = proxied.caller_address("seoul-1")
    wait_until(
        lambda: chat(entry, "draft", "x", key=HANBIT_KEY).is_success,
        description="requests are forwarded to the other allowed region",
    )
    responses = send_all(proxied, "seoul-1", spillover)
    assert sum(response.chat_text() is not None for response in responses) >= len(spillover) / 2
    assert processes_that_saw(proxied, spillover) >= {"seoul-1", "daejeon-1", "daejeon-engine"}
    isolated = make_markers("stranded")
    proxy.cut("seoul-1", "daejeon-1")
    for response in send_all(proxied, "seoul-1", isolated):
        assert response.status in (502, 503, 504)

    expected = {"seoul-1", "daejeon-1", "seoul-engine", "daejeon-engine"}
    all_markers = home + disallowed + spillover + isolated
    assert processes_that_saw(proxied, all_markers) == expected
    proxy.heal()
    for instance in proxied.instances.values():
        retained = json.dumps(state_dump(instance)) + "\n".join(instance.lines)
        assert "marker-" not in retained
        assert HANBIT_KEY not in retained


def test_receiver_refuses_by_its_own_configuration_before_any_byte_of_the_request(
    proxied: Deployment,
) -> None:
    proxy_of(proxied).record()
    write_configuration(proxied, "restricted.yaml", ALLOWED)
    permissive = write_configuration(proxied, "lax.yaml", REGIONS)
    start_regions(proxied, seoul=permissive)
    proxied.start_backend("busan-engine", "engine", "busan", ("draft",))
    markers: list[str] = []

    def is_refused() -> bool:
        markers.append(f"marker-{len(markers)}-")
        response = chat(proxied.caller_address("seoul-1"), "draft", markers[-1], key=HANBIT_KEY)
        assert response.json()["outcome"] == "not run"
        return bool(response.status_code == 421)

    wait_until(is_refused, description="the request is forwarded and the other region refuses it")
    assert processes_that_saw(proxied, markers) == set()


def forward_open_message(name: str, visited: tuple[str, ...], crossings: int) -> ForwardOpen:
    return ForwardOpen(
        request_id=name,
        member="hanbit",
        client="desk",
        service="draft",
        method="POST",
        target="/v1/chat/completions",
        headers=(),
        visited=visited,
        crossings=crossings,
        deadline_s=5.0,
        configuration_revision=0,
        idempotent=True,
        priority=0,
    )


def test_forward_that_came_back_or_crossed_twice_is_refused_as_not_run(
    deployment: Deployment,
) -> None:
    peers = deployment.start_instance("seoul-1", "seoul").ready_fields["peers"]
    deployment.start_backend("seoul-engine", "engine", "seoul", ("draft",))

    async def refusal(forward_open: ForwardOpen) -> Message:
        async with raw_peer(peers, "busan-1", LinkPurpose.FORWARD) as peer:
            await peer.send(forward_open)
            await peer.send(ForwardBody(data=b"", last=True))
            while isinstance(item := await peer.receive(), ForwardAlive):
                pass
            return item

    for forward_open in (
        forward_open_message("came-back", ("seoul-1", "busan-1"), 1),
        forward_open_message("crossed-twice", ("busan-1",), 2),
    ):
        item = asyncio.run(refusal(forward_open))
        assert isinstance(item, ForwardFailed)
        assert (item.problem, item.outcome) == ("forwarding-loop", "not run")


def test_no_request_passes_an_instance_twice_whatever_loads_are_announced(
    deployment: Deployment,
) -> None:
    for region in REGIONS:
        deployment.start_instance(f"{region}-1", region)

    async def announce_idle_backends() -> None:
        """Announce to each instance many idle engines in all other regions."""
        summary = ServiceSummary(service="hanbit/draft", backends=9, slots=99, load=0)
        for name, process in deployment.instances.items():
            async with raw_peer(process.ready_fields["peers"], "liar", LinkPurpose.CONTROL) as peer:
                for region in REGIONS:
                    if not name.startswith(region):
                        await peer.send(RegionSummary(region=region, services=(summary,)))

    def all_links_open() -> bool:
        dumps = [
            state_dump(process)["membership"]["links"] for process in deployment.instances.values()
        ]
        return all(len(open_links) == 2 for open_links in dumps)

    wait_until(all_links_open, description="all links are open")
    forwarded = 0
    for attempt in range(10):
        asyncio.run(announce_idle_backends())
        for name in deployment.instances:
            response = chat(deployment.caller_address(name), "draft", f"{attempt}", key=HANBIT_KEY)
            assert response.status_code == 503
            assert response.json()["outcome"] == "not run"
    for name, process in deployment.instances.items():
        failed_request_ids = [
            re.search(r"request_id=(\w+)", line)[1]  # type: ignore[index]
            for line in process.lines
            if "event=request_failed" in line
        ]
        counts = collections.Counter(failed_request_ids)
        assert set(counts.values()) == {1}, name
        forwarded += len(failed_request_ids) - 10
    assert 0 < forwarded <= 2 * 30


def test_wrong_region_refuses_before_it_reads_the_body(deployment: Deployment) -> None:
    restricted = write_configuration(deployment, "restricted.yaml", ALLOWED)
    instance = deployment.start_instance("busan-1", "busan", configuration=restricted)
    address = instance.ready_fields["callers"]

    async def refusal(path: str, *headers: str) -> RawResponse:
        connection = await RawConnection.open(address)
        data = head_bytes("POST", path, HANBIT_KEY, "content-length: 9", *headers)
        response = await connection.exchange(data, timeout_s=3.0)
        connection.abort()
        return response

    for headers in ((), ("figpaddle-service: draft",)):
        response = asyncio.run(refusal("/v1/chat/completions", *headers))
        assert (response.status, response.outcome) == (421, "not run")
    assert (
        asyncio.run(refusal("/v1/chat/completions", "figpaddle-service: desk-chat")) is NO_RESPONSE
    )
    entry_lists = [
        call(address, "GET", f"/v1/entries{query}", key=HANBIT_KEY).json()["entries"]
        for query in ("", "?service=draft", "?service=desk-chat")
    ]
    assert [len(entries) for entries in entry_lists] == [0, 0, 1]
