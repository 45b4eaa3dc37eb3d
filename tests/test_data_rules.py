"""Requests, answers and what is kept of them stay in the allowed regions; no request loops."""

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
from tests.calls import call, chat, state, wait_until
from tests.conftest import HANBIT_KEY
from tests.fault_proxy import FaultProxy
from tests.harness import Deployment
from tests.raw_http import NOTHING, RawAnswer, RawConnection, head_bytes, raw_chat
from tests.raw_peer import raw_peer

REGIONS = ("seoul", "busan", "daejeon")
#: The region that is not allowed comes first where others are equal.
ALLOWED = ("seoul", "daejeon")


def write_configuration(deployment: Deployment, name: str, regions: tuple[str, ...]) -> str:
    """Write a configuration whose draft service may use ``regions`` only."""
    plain = yaml.safe_load((deployment.folder / "configuration.yaml").read_text())
    for member in plain["members"]:
        for service in member["services"]:
            if service["name"] == "draft":
                service["regions"] = list(regions)
    deployment.write(name, plain)
    return name


def proxy_of(deployment: Deployment) -> FaultProxy:
    assert deployment.proxy is not None
    return deployment.proxy


def start_regions(deployment: Deployment, **configurations: str) -> None:
    for region in REGIONS:
        deployment.start_instance(
            f"{region}-1", region, configuration=configurations.get(region, "restricted.yaml")
        )


def ask_all(deployment: Deployment, entry: str, markers: list[str]) -> list[RawAnswer]:
    async def run() -> list[RawAnswer]:
        address = deployment.entry(entry)
        asked = (
            raw_chat(address, "draft", marker, key=HANBIT_KEY, stream=bool(index % 2), max_tokens=2)
            for index, marker in enumerate(markers)
        )
        return await asyncio.gather(*asked)

    return asyncio.run(run())


def make_markers(phase: str) -> list[str]:
    return [f"marker-{phase}-{index}-" for index in range(20)]


def places_of(deployment: Deployment, markers: list[str]) -> set[str]:
    """Return the processes that sent a marker to another process or got one from it.

    Links to callers are left out: a caller may send its own request anywhere.
    """
    places: set[str] = set()
    for ends, data in proxy_of(deployment).recorded().items():
        if "outside" not in ends and any(marker.encode() in data for marker in markers):
            places |= set(ends)
    return places


def heard_of_engines(deployment: Deployment, instance: str, count: int) -> bool:
    return len(state(deployment.instances[instance])["backends"]) == count


def test_markers_reach_no_region_that_is_not_allowed(proxied: Deployment) -> None:
    proxy = proxy_of(proxied)
    proxy.record()
    write_configuration(proxied, "restricted.yaml", ALLOWED)
    start_regions(proxied)
    for region in REGIONS:
        proxied.start_backend(f"{region}-engine", "engine", region, ("draft",))
    for region in REGIONS:
        wait_until(
            lambda r=region: heard_of_engines(proxied, f"{r}-1", 1), what="engines are known"
        )

    home = make_markers("home")
    assert all(answer.chat_text() for answer in ask_all(proxied, "seoul-1", home))
    outside = make_markers("outside")
    for answer in ask_all(proxied, "busan-1", outside):
        assert (answer.status, answer.problem, answer.outcome) == (
            421,
            "region-not-allowed",
            "not run",
        )
    spilled = make_markers("spilled")
    proxied.backends["seoul-engine"].kill()
    entry = proxied.entry("seoul-1")
    wait_until(lambda: chat(entry, "draft", "x", key=HANBIT_KEY).is_success, what="spilling")
    answers = ask_all(proxied, "seoul-1", spilled)
    assert sum(answer.chat_text() is not None for answer in answers) >= len(spilled) / 2
    assert places_of(proxied, spilled) >= {"seoul-1", "daejeon-1", "daejeon-engine"}
    stranded = make_markers("stranded")
    proxy.cut("seoul-1", "daejeon-1")
    for answer in ask_all(proxied, "seoul-1", stranded):
        assert answer.status in (502, 503, 504)

    held = {"seoul-1", "daejeon-1", "seoul-engine", "daejeon-engine"}
    everything = home + outside + spilled + stranded
    assert places_of(proxied, everything) == held
    proxy.heal()
    for instance in proxied.instances.values():
        kept = json.dumps(state(instance)) + "\n".join(instance.lines)
        assert "marker-" not in kept
        assert HANBIT_KEY not in kept


def test_receiver_refuses_by_its_own_configuration_before_any_byte_of_the_request(
    proxied: Deployment,
) -> None:
    proxy_of(proxied).record()
    write_configuration(proxied, "restricted.yaml", ALLOWED)
    lax = write_configuration(proxied, "lax.yaml", REGIONS)
    start_regions(proxied, seoul=lax)
    proxied.start_backend("busan-engine", "engine", "busan", ("draft",))
    markers: list[str] = []

    def refused() -> bool:
        markers.append(f"marker-{len(markers)}-")
        answer = chat(proxied.entry("seoul-1"), "draft", markers[-1], key=HANBIT_KEY)
        assert answer.json()["outcome"] == "not run"
        return bool(answer.status_code == 421)

    wait_until(refused, what="the other region is asked and refuses")
    assert places_of(proxied, markers) == set()


def forward(name: str, visited: tuple[str, ...], crossings: int) -> ForwardOpen:
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
    peers = deployment.start_instance("seoul-1", "seoul").fields["peers"]
    deployment.start_backend("seoul-engine", "engine", "seoul", ("draft",))

    async def refusal(opened: ForwardOpen) -> Message:
        async with raw_peer(peers, "busan-1", LinkPurpose.FORWARD) as peer:
            await peer.send(opened)
            await peer.send(ForwardBody(data=b"", last=True))
            while isinstance(item := await peer.receive(), ForwardAlive):
                pass
            return item

    for opened in (
        forward("came-back", ("seoul-1", "busan-1"), 1),
        forward("crossed-twice", ("busan-1",), 2),
    ):
        item = asyncio.run(refusal(opened))
        assert isinstance(item, ForwardFailed)
        assert (item.problem, item.outcome) == ("forwarding-loop", "not run")


def test_no_request_passes_an_instance_twice_whatever_instances_believe(
    deployment: Deployment,
) -> None:
    for region in REGIONS:
        deployment.start_instance(f"{region}-1", region)

    async def mislead() -> None:
        """Tell each instance that all other regions have many idle engines."""
        entry = ServiceSummary(service="hanbit/draft", backends=9, slots=99, load=0)
        for name, process in deployment.instances.items():
            async with raw_peer(process.fields["peers"], "liar", LinkPurpose.CONTROL) as peer:
                for region in REGIONS:
                    if not name.startswith(region):
                        await peer.send(RegionSummary(region=region, services=(entry,)))

    def links() -> bool:
        dumps = [state(one)["membership"]["links"] for one in deployment.instances.values()]
        return all(len(open_links) == 2 for open_links in dumps)

    wait_until(links, what="all links are open")
    forwarded = 0
    for attempt in range(10):
        asyncio.run(mislead())
        for name in deployment.instances:
            answer = chat(deployment.entry(name), "draft", f"{attempt}", key=HANBIT_KEY)
            assert answer.status_code == 503
            assert answer.json()["outcome"] == "not run"
    for name, process in deployment.instances.items():
        ended = [
            re.search(r"request_id=(\w+)", line)[1]  # type: ignore[index]
            for line in process.lines
            if "event=request_failed" in line
        ]
        counts = collections.Counter(ended)
        assert set(counts.values()) == {1}, name
        forwarded += len(ended) - 10
    assert 0 < forwarded <= 2 * 30


def test_wrong_region_refuses_before_it_reads_the_body(deployment: Deployment) -> None:
    restricted = write_configuration(deployment, "restricted.yaml", ALLOWED)
    entry = deployment.start_instance("busan-1", "busan", configuration=restricted)
    address = entry.fields["callers"]

    async def refusal(path: str, *headers: str) -> RawAnswer:
        connection = await RawConnection.open(address)
        data = head_bytes("POST", path, HANBIT_KEY, "content-length: 9", *headers)
        answer = await connection.exchange(data, timeout_s=3.0)
        connection.abort()
        return answer

    for headers in ((), ("figpaddle-service: draft",)):
        answer = asyncio.run(refusal("/v1/chat/completions", *headers))
        assert (answer.status, answer.outcome) == (421, "not run")
    assert asyncio.run(refusal("/v1/chat/completions", "figpaddle-service: desk-chat")) is NOTHING
    found = [
        call(address, "GET", f"/v1/entries{query}", key=HANBIT_KEY).json()["entries"]
        for query in ("", "?service=draft", "?service=desk-chat")
    ]
    assert [len(entries) for entries in found] == [0, 0, 1]
