"""Ledger records stay in the client's home region, which serves its clients when it is isolated."""

from __future__ import annotations

import pathlib
from collections.abc import Iterator

import pytest

from tests.calls import state_dump, wait_for_ledger, wait_until
from tests.conftest import HANBIT_KEY, write_examples
from tests.fault_proxy import FaultProxy
from tests.filings import SERVICE, problem_and_outcome, run_count, send_filing
from tests.harness import Deployment

OUTSIDE_KEY = "key of a client at home where its member may not keep data"
REGIONS = ("seoul", "busan")


@pytest.fixture(scope="module")
def regions(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Deployment]:
    folder: pathlib.Path = tmp_path_factory.mktemp("regions")
    with Deployment(folder, proxy=FaultProxy()) as deployment:
        write_examples(deployment)
        deployment.write_clients(
            ("desk", "hanbit", "seoul", HANBIT_KEY), ("stray", "hanbit", "andes", OUTSIDE_KEY)
        )
        for region in REGIONS:
            deployment.start_instance(f"{region}-1", region)
            deployment.start_backend(f"{region}-records", "records", region, (SERVICE,))
        wait_for_ledger(*deployment.instances.values())
        wait_until(lambda: regions_are_linked(deployment), description="the regions are linked")
        yield deployment


def regions_are_linked(deployment: Deployment) -> bool:
    return all(
        state_dump(instance)["membership"]["links"]
        and "records" in str(state_dump(instance)["backends"])
        for instance in deployment.instances.values()
    )


def test_client_that_moves_gets_the_response_recorded_in_its_home_region(
    regions: Deployment,
) -> None:
    assert send_filing(regions, "busan-1", "moved").status_code == 201
    again = send_filing(regions, "seoul-1", "moved")
    assert again.headers["figpaddle-replayed"] == "true"
    assert again.headers["figpaddle-region"] == "busan"
    assert run_count(regions, "moved") == 1
    record_counts = {
        name: state_dump(process)["ledger"]["records"]
        for name, process in regions.instances.items()
    }
    assert record_counts["seoul-1"] >= 1 and record_counts["busan-1"] == 0


def test_client_whose_home_region_may_not_store_its_data_is_refused(regions: Deployment) -> None:
    refused = send_filing(regions, "seoul-1", "stray", client=OUTSIDE_KEY)
    assert problem_and_outcome(refused) == ("region-not-allowed", "not run")
    assert run_count(regions, "stray") == 0


def test_home_region_that_is_cut_off_serves_its_clients_and_other_regions_refuse(
    regions: Deployment,
) -> None:
    assert regions.proxy is not None
    regions.proxy.cut("seoul-1", "busan-1")
    assert send_filing(regions, "seoul-1", "cut").status_code == 201
    refused = send_filing(regions, "busan-1", "cut")
    assert problem_and_outcome(refused) == ("ledger-unavailable", "unknown")
    regions.proxy.heal()
    wait_until(lambda: regions_are_linked(regions), description="the link opens again")
    wait_until(
        lambda: send_filing(regions, "busan-1", "cut").is_success,
        description="the ledger is reachable again",
    )
    assert send_filing(regions, "busan-1", "cut").headers["figpaddle-replayed"] == "true"
    assert run_count(regions, "cut") == 1


def test_forwarded_request_runs_once_and_is_recorded_by_its_entry(regions: Deployment) -> None:
    regions.backends["seoul-records"].stop()
    wait_until(
        lambda: "seoul-records" not in str(state_dump(regions.instances["seoul-1"])["backends"])
        or "leaving" in str(state_dump(regions.instances["seoul-1"])["backends"]),
        description="the home region has no backend server",
    )
    first = send_filing(regions, "seoul-1", "forwarded")
    again = send_filing(regions, "busan-1", "forwarded")
    assert (first.status_code, first.headers["figpaddle-region"]) == (201, "busan")
    assert again.headers["figpaddle-replayed"] == "true"
    assert run_count(regions, "forwarded") == 1


def test_single_slot_without_a_disk_refuses_after_its_restart_until_records_expire(
    deployment: Deployment,
) -> None:
    settings = deployment.ledger_settings("seoul-1", retention_s=8.0)
    deployment.start_instance("seoul-1", "seoul", ledger=settings)
    deployment.start_backend("seoul-records", "records", "seoul", (SERVICE,))
    wait_until(
        lambda: send_filing(deployment, "seoul-1", "amnesia").is_success,
        description="the filing is accepted",
    )
    deployment.instances["seoul-1"].kill()
    deployment.start_instance("seoul-1", "seoul", ledger=settings)
    deployment.start_backend("seoul-records-2", "records", "seoul", (SERVICE,))
    refused = send_filing(deployment, "seoul-1", "amnesia")
    assert problem_and_outcome(refused) == ("ledger-unavailable", "unknown")
    assert run_count(deployment, "amnesia") == 1
    wait_until(
        lambda: send_filing(deployment, "seoul-1", "after expiry").is_success,
        description="served again",
    )
