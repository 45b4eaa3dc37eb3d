"""A region that is partitioned from the others keeps serving its own callers."""

from __future__ import annotations

from tests.calls import chat, state_dump, wait_until
from tests.conftest import HANBIT_KEY
from tests.harness import Deployment


def start_two_regions(deployment: Deployment) -> None:
    for region in ("seoul", "busan"):
        deployment.start_instance(f"{region}-1", region)
        deployment.start_backend(f"{region}-engine", "engine", region, ("draft",))


def serving_region(deployment: Deployment, instance: str) -> str | None:
    response = chat(deployment.caller_address(instance), "draft", "x", key=HANBIT_KEY, max_tokens=1)
    return response.headers.get("figpaddle-region") if response.is_success else None


def test_region_cut_off_keeps_serving_its_own_callers(proxied: Deployment) -> None:
    start_two_regions(proxied)
    for region in ("seoul", "busan"):
        wait_until(
            lambda r=region: serving_region(proxied, f"{r}-1") == r,
            description="each region serves its own callers",
        )

    wait_until(
        lambda: bool(state_dump(proxied.instances["seoul-1"])["membership"]["links"]),
        description="the link is open",
    )
    assert proxied.proxy is not None
    proxied.proxy.cut("seoul-1", "busan-1")
    wait_until(
        lambda: not state_dump(proxied.instances["seoul-1"])["membership"]["links"],
        description="the cut link is detected",
    )
    for region in ("seoul", "busan"):
        assert serving_region(proxied, f"{region}-1") == region
    proxied.proxy.heal()
    wait_until(
        lambda: bool(state_dump(proxied.instances["seoul-1"])["membership"]["links"]),
        description="the link opens again",
    )
