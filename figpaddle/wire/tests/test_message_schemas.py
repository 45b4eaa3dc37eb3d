"""Messages are validated as the library itself would have it."""

from __future__ import annotations

import dataclasses
import importlib
import pkgutil
from typing import Any

import pydantic
import pytest

from figpaddle import wire
from figpaddle.wire._codec import _REGISTRY
from figpaddle.wire._message_schemas import message_schema

for module in pkgutil.iter_modules(wire.__path__, prefix="figpaddle.wire."):
    importlib.import_module(module.name)

#: Keys that only describe a schema, and the title in messages of errors.
DESCRIPTIONS = {"metadata", "ref", "config"}


def _plain(schema: Any, definitions: dict[str, Any]) -> Any:
    """Return a schema without references, descriptions and values that are the defaults."""
    if isinstance(schema, list):
        return [_plain(item, definitions) for item in schema]
    if not isinstance(schema, dict):
        return schema
    if schema.get("type") == "definitions":
        known = {item["ref"]: item for item in schema["definitions"]}
        return _plain(schema["schema"], {**definitions, **known})
    if schema.get("type") == "definition-ref":
        return _plain(definitions[schema["schema_ref"]], definitions)
    return {
        key: _plain(value, definitions)
        for key, value in schema.items()
        if key not in DESCRIPTIONS and value is not False and value != []
    }


MESSAGES = [cls for cls in _REGISTRY.values() if cls.__module__.startswith("figpaddle.wire.")]


@pytest.mark.parametrize("cls", MESSAGES, ids=lambda cls: cls.wire_name)
def test_the_schema_is_that_of_the_library(cls: type[wire.Message]) -> None:
    expected = _plain(pydantic.TypeAdapter(cls).core_schema, {})
    assert _plain(message_schema(cls), {}) == expected


def test_a_field_of_an_unknown_type_is_refused() -> None:
    odd = dataclasses.make_dataclass("Odd", [("number", complex)], frozen=True)
    with pytest.raises(TypeError, match="complex"):
        message_schema(odd)
