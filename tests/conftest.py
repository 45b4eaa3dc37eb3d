"""Fixtures shared by the integration tests."""

from __future__ import annotations

import pathlib
from collections.abc import Generator, Iterator

import pytest
import yaml

from figpaddle.daemon._settings import load_yaml
from figpaddle.deployment import (
    Configuration,
    configuration_to_plain,
    generate,
    read_answers,
)
from tests.failure_logs import note_failure
from tests.fault_proxy import FaultProxy
from tests.harness import Deployment

EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / "examples"
HANBIT_KEY = "hanbit-desk-key"
CUMBRE_KEY = "cumbre-agency-key"


def write_examples(deployment: Deployment) -> None:
    """Write the configuration generated for both example members, and one client of each."""
    configuration = Configuration(revision=0, members=())
    for name in ("hanbit", "cumbre"):
        path = EXAMPLES / f"{name}.answers.yaml"
        answers = read_answers(load_yaml(path), document=str(path))
        member = generate(answers).member
        configuration = configuration.with_member(member, revision=configuration.revision + 1)
    path = deployment.folder / "configuration.yaml"
    path.write_text(yaml.safe_dump(configuration_to_plain(configuration)), encoding="utf-8")
    deployment.write_clients(
        ("desk", "hanbit", "seoul", HANBIT_KEY),
        ("agency", "cumbre", "highlands", CUMBRE_KEY),
    )


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(
    item: pytest.Item,
) -> Generator[None, pytest.TestReport, pytest.TestReport]:
    """Note a failure before the fixtures of its test are torn down."""
    report = yield
    if report.failed:
        note_failure(item.nodeid)
    return report


@pytest.fixture
def deployment(tmp_path: pathlib.Path) -> Iterator[Deployment]:
    """A deployment with the example configuration, before any process is started."""
    with Deployment(tmp_path) as running:
        write_examples(running)
        yield running


@pytest.fixture
def proxied(tmp_path: pathlib.Path) -> Iterator[Deployment]:
    """A deployment whose processes reach each other through a fault-injecting proxy."""
    with Deployment(tmp_path, proxy=FaultProxy()) as running:
        write_examples(running)
        yield running
