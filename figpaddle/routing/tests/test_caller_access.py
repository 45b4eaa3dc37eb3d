"""Callers get at what their keys allow, in the regions and with the priority of route and workspace."""

from __future__ import annotations

import dataclasses

import pytest

from figpaddle.deployment import (
    GatewayConfiguration,
    GatewayLimits,
    GatewayRoute,
    Repeat,
    Workspace,
    digest_key,
)
from figpaddle.routing import AccessRefusal, CallerAccess, decide_access, unrestricted_regions

REGIONS = frozenset({"north", "south", "east"})


def route(name: str, *homes: str, priority: int = 1, public: bool = False) -> GatewayRoute:
    return GatewayRoute(
        name=name,
        host="guide.example",
        path_prefix=f"/{name}/",
        streaming=False,
        repeat=Repeat.ONCE,
        timeout_s=5.0,
        target_s=0.5,
        gap_s=0.3,
        priority=priority,
        max_attempts=1,
        services=(("plain", 1),),
        home_regions=homes,
        public=public,
    )


def workspace(name: str, *homes: str, priority: int | None = None) -> Workspace:
    digests = frozenset({digest_key(name.encode())})
    return Workspace(name=name, key_digests=digests, priority=priority, home_regions=homes)


ANYWHERE, IN_NORTH = route("anywhere"), route("north", "north", "east", priority=3)
OPEN = route("open", public=True)
CONFIGURATION = GatewayConfiguration(
    version=1,
    routes=(ANYWHERE, IN_NORTH, OPEN),
    services=(),
    limits=GatewayLimits(),
    workspaces=(
        workspace("first", priority=0),
        workspace("bound", "south", "east"),
        workspace("southern", "south"),
        workspace("last", priority=7),
    ),
)


def decide(
    wanted: GatewayRoute, key: str, *, keys_are_current: bool = True
) -> CallerAccess | AccessRefusal:
    digest = digest_key(key.encode()) if key else b""
    return decide_access(CONFIGURATION, wanted, digest, keys_are_current=keys_are_current)


@pytest.mark.parametrize("key", ["", "nobody's"])
def test_a_route_that_is_not_public_needs_a_known_key(key: str) -> None:
    refusal = decide(ANYWHERE, key)
    assert isinstance(refusal, AccessRefusal) and refusal.status == 401
    access = decide(OPEN, key)
    assert isinstance(access, CallerAccess) and access.workspace is None


def test_keys_that_may_have_been_taken_away_are_refused_for_now() -> None:
    refusal = decide(ANYWHERE, "first", keys_are_current=False)
    assert isinstance(refusal, AccessRefusal) and refusal.status == 503
    assert isinstance(decide(OPEN, "", keys_are_current=False), CallerAccess)


def test_the_homes_of_route_and_workspace_both_bind() -> None:
    homes = {}
    for name in ("first", "bound"):
        access = decide(IN_NORTH, name)
        assert isinstance(access, CallerAccess)
        homes[name] = access.route.home_regions
    assert homes == {"first": ("north", "east"), "bound": ("east",)}
    refusal = decide(IN_NORTH, "southern")
    assert refusal == AccessRefusal(
        status=503, reason="homes leave no region", workspace="southern"
    )
    assert unrestricted_regions(CONFIGURATION, REGIONS) == frozenset()


def test_the_priority_of_the_workspace_goes_before_that_of_the_route() -> None:
    ranks = []
    for name in ("first", "bound", "last"):
        for wanted in (ANYWHERE, IN_NORTH):
            access = decide(wanted, name)
            assert isinstance(access, CallerAccess)
            ranks.append(access.route.priority)
    assert ranks == sorted(set(ranks))
    assert set(CONFIGURATION.priorities_of("plain")) == set(ranks)


def test_without_workspaces_a_route_is_left_as_it_is() -> None:
    plain = dataclasses.replace(CONFIGURATION, workspaces=())
    access = decide_access(plain, IN_NORTH, digest_key(b"any"), keys_are_current=False)
    assert isinstance(access, CallerAccess) and access.route is IN_NORTH
    assert plain.priorities_of("plain") == (1, 3)
