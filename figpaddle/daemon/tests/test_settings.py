"""An invalid settings file is rejected with all faults, each with its path and a remedy."""

from __future__ import annotations

import pathlib
import subprocess
import sys
from typing import Any

import pytest
import yaml

from figpaddle.daemon import load_settings
from figpaddle.errors import SettingsError

VALID: dict[str, Any] = {
    "instance": "seoul-1",
    "region": "seoul",
    "zone": "seoul-a",
    "listen": dict.fromkeys(("callers", "backends", "operators", "peers"), "127.0.0.1:0"),
    "deployment_key": "k" * 32,
    "directory": "clients.yaml",
}


def write_settings(folder: pathlib.Path, document: object) -> pathlib.Path:
    path = folder / "settings.yaml"
    path.write_text(yaml.safe_dump(document), encoding="utf-8")
    return path


def test_paths_are_relative_to_the_settings_file(tmp_path: pathlib.Path) -> None:
    assert load_settings(write_settings(tmp_path, VALID)).directory == tmp_path / "clients.yaml"


@pytest.mark.parametrize(
    ("changes", "paths"),
    [
        ({"region": None, "zone": "Bad Zone"}, ["region", "zone"]),
        ({"unknown": 1}, ["unknown"]),
        ({"deployment_key": "short"}, ["deployment_key"]),
        ({"listen": {"callers": "localhost:1"}}, ["listen.callers", "listen.backends"]),
        ({"limits": {"drain_s": 0}}, ["limits.drain_s"]),
    ],
)
def test_every_fault_is_reported_with_its_path(
    tmp_path: pathlib.Path, changes: dict[str, Any], paths: list[str]
) -> None:
    with pytest.raises(SettingsError) as caught:
        load_settings(write_settings(tmp_path, {**VALID, **changes}))
    found = [fault.path for fault in caught.value.faults]
    assert set(paths) <= set(found)
    assert all(fault.hint for fault in caught.value.faults)


def test_key_is_never_shown(tmp_path: pathlib.Path) -> None:
    with pytest.raises(SettingsError) as caught:
        load_settings(write_settings(tmp_path, {**VALID, "deployment_key": "a short secret"}))
    assert "a short secret" not in str(caught.value)


@pytest.mark.parametrize("text", ["a: [", "- 1\n", ""])
def test_daemon_exits_with_2_before_it_is_ready(tmp_path: pathlib.Path, text: str) -> None:
    path = tmp_path / "settings.yaml"
    path.write_text(text, encoding="utf-8")
    command = [sys.executable, "-m", "figpaddle.daemon", "--settings", str(path)]
    ended = subprocess.run(command, capture_output=True, text=True, timeout=30, check=False)
    assert ended.returncode == 2
    assert str(path) in ended.stderr
    assert "event=ready" not in ended.stdout
