"""Each package defines every name in its ``__all__``."""

from __future__ import annotations

import importlib
import pkgutil

import pytest

import figpaddle

PACKAGES = [module.name for module in pkgutil.iter_modules(figpaddle.__path__)]


@pytest.mark.parametrize("name", PACKAGES)
def test_every_listed_name_exists(name: str) -> None:
    package = importlib.import_module(f"figpaddle.{name}")
    missing = [name for name in getattr(package, "__all__", []) if not hasattr(package, name)]
    assert missing == []
