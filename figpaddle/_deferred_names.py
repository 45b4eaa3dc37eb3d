"""Names of a package whose modules are imported once one of them is used.

A process uses a part of what the packages offer, and creating the classes of the rest would take a
large part of its start.
"""

from __future__ import annotations

import importlib
import sys
from collections.abc import Callable, Mapping
from typing import Any


def deferred_names(package: str, modules: Mapping[str, str]) -> Callable[[str], Any]:
    """Return the ``__getattr__`` of ``package``.

    ``modules`` has the names that each module of the package offers, separated by spaces. Type checkers
    need imports of the same names besides, under ``TYPE_CHECKING``.

    >>> find = deferred_names("figpaddle.wire", {"_handshake": "NONCE_BYTES Handshake"})
    >>> find("Handshake").__module__
    'figpaddle.wire._handshake'
    """
    module_of = {name: module for module, names in modules.items() for name in names.split()}

    def find(name: str) -> Any:
        module = module_of.get(name)
        if module is None:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        value = getattr(importlib.import_module(f"{package}.{module}"), name)
        # Found without this function from now on.
        setattr(sys.modules[package], name, value)
        return value

    return find
