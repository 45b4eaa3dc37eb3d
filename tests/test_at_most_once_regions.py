"""Records stay at the client's home region, which serves its clients alone when it is cut off."""

from __future__ import annotations

import pathlib
from collections.abc import Iterator

import pytest

from tests.calls import state, wait_for_ledger, wait_until
from tests.conftest import HANBIT_KEY, write_examples
from tests.fault_proxy import FaultProxy
from tests.filings import SERVICE, file, problem, runs
from tests.harness import Deployment

STRAY_KEY = "key of a client at home where its member may not keep data"
REGIONS = ("seoul", "busan")


@pytest.fixture(scope="module")
def regions(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Deployment]:
    folder: pathlib.Path = tmp_path_factory.mktemp("regions")
    with Deployment(folder, proxy=FaultProxy()) as deployment:
        write_examples(deployment)
        deployment.write_clients(
            ("desk", "hanbit", "seoul", HANBIT_KEY), ("stray", "hanbit", "andes", STRAY_KEY)
        )
        for region in REGIONS:
            deployment.start_instance(f"{region}-1", region)
            deployment.start_backend(f"{region}-records", "records", region, (SERVICE,))
        wait_for_ledger(*deployment.instances.values())
        wait_until(lambda: linked(deployment), what="the regions are linked")
        yield deployment


def linked(deployment: Deployment) -> bool:
    return all(
        state(instance)["membership"]["links"] and "records" in str(state(instance)["backends"])
        for instance in deployment.instances.values()
    )


def test_client_that_moves_gets_the_answer_recorded_at_home(regions: Deployment) -> None:
    assert file(regions, "busan-1", "moved").status_code == 201
    again = file(regions, "seoul-1", "moved")
    assert again.headers["figpaddle-replayed"] == "true"
    assert again.headers["figpaddle-region"] == "busan"
    assert runs(regions, "moved") == 1
    held = {name: state(one)["ledger"]["records"] for name, one in regions.instances.items()}
    assert held["seoul-1"] >= 1 and held["busan-1"] == 0


def test_client_whose_home_may_not_hold_its_data_is_refused(regions: Deployment) -> None:
    refused = file(regions, "seoul-1", "stray", client=STRAY_KEY)
    assert problem(refused) == ("region-not-allowed", "not run")
    assert runs(regions, "stray") == 0


def test_home_region_that_is_cut_off_serves_its_clients_and_other_regions_refuse(
    regions: Deployment,
) -> None:
    assert regions.proxy is not None
    regions.proxy.cut("seoul-1", "busan-1")
    assert file(regions, "seoul-1", "cut").status_code == 201
    refused = file(regions, "busan-1", "cut")
    assert problem(refused) == ("ledger-unavailable", "unknown")
    regions.proxy.heal()
    wait_until(lambda: linked(regions), what="the link opens again")
    wait_until(
        lambda: file(regions, "busan-1", "cut").is_success, what="the ledger is reached again"
    )
    assert file(regions, "busan-1", "cut").headers["figpaddle-replayed"] == "true"
    assert runs(regions, "cut") == 1


def test_forwarded_request_runs_once_and_is_recorded_by_its_entry(regions: Deployment) -> None:
    regions.backends["seoul-records"].stop()
    wait_until(
        lambda: "seoul-records" not in str(state(regions.instances["seoul-1"])["backends"])
        or "leaving" in str(state(regions.instances["seoul-1"])["backends"]),
        what="the home region has no backend server",
    )
    first = file(regions, "seoul-1", "forwarded")
    again = file(regions, "busan-1", "forwarded")
    assert (first.status_code, first.headers["figpaddle-region"]) == (201, "busan")
    assert again.headers["figpaddle-replayed"] == "true"
    assert runs(regions, "forwarded") == 1


def test_single_slot_without_a_disk_refuses_after_its_restart_until_records_expire(
    deployment: Deployment,
) -> None:
    settings = deployment.ledger_settings("seoul-1", retention_s=8.0)
    deployment.start_instance("seoul-1", "seoul", ledger=settings)
    deployment.start_backend("seoul-records", "records", "seoul", (SERVICE,))
    wait_until(lambda: file(deployment, "seoul-1", "amnesia").is_success, what="filed")
    deployment.instances["seoul-1"].kill()
    deployment.start_instance("seoul-1", "seoul", ledger=settings)
    deployment.start_backend("seoul-records-2", "records", "seoul", (SERVICE,))
    refused = file(deployment, "seoul-1", "amnesia")
    assert problem(refused) == ("ledger-unavailable", "unknown")
    assert runs(deployment, "amnesia") == 1
    wait_until(lambda: file(deployment, "seoul-1", "after expiry").is_success, what="served again")
