"""Schemas of message types for the library that validates them.

``pydantic`` derives equal schemas, but importing it and having it inspect each type takes longer than
all else that a process does before it serves. Its core alone does the validation either way.
"""

from __future__ import annotations

import dataclasses
import enum
import types
import typing
from typing import Any

from pydantic_core import CoreSchema, core_schema

_SCALARS: dict[Any, CoreSchema] = {
    str: core_schema.str_schema(),
    bytes: core_schema.bytes_schema(),
    bool: core_schema.bool_schema(),
    int: core_schema.int_schema(),
    float: core_schema.float_schema(),
}


def message_schema(cls: type) -> CoreSchema:
    """Return the schema of a data class of texts, numbers, enums, tuples and such data classes.

    Raises TypeError for a field of another type.

    >>> @dataclasses.dataclass(frozen=True, kw_only=True)
    ... class Limit:
    ...     per_s: float
    >>> message_schema(Limit)["schema"]["fields"][0]["name"]
    'per_s'
    """
    hints = typing.get_type_hints(cls)
    fields = dataclasses.fields(cls)
    arguments = [
        core_schema.dataclass_field(
            name=field.name, schema=_field_schema(field, hints[field.name]), init=True
        )
        for field in fields
    ]
    return core_schema.dataclass_schema(
        cls,
        core_schema.dataclass_args_schema(cls.__name__, arguments),
        [field.name for field in fields],
        slots=hasattr(cls, "__slots__"),
    )


def _field_schema(field: dataclasses.Field[Any], hint: Any) -> CoreSchema:
    schema = _value_schema(hint)
    if field.default is dataclasses.MISSING:
        return schema
    return core_schema.with_default_schema(schema, default=field.default)


def _value_schema(hint: Any) -> CoreSchema:
    scalar = _SCALARS.get(hint)
    if scalar is not None:
        return scalar
    origin, arguments = typing.get_origin(hint), typing.get_args(hint)
    if origin is tuple:
        return _tuple_schema(arguments)
    if origin is types.UnionType and len(arguments) == 2 and arguments[1] is types.NoneType:
        return core_schema.nullable_schema(_value_schema(arguments[0]))
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return core_schema.enum_schema(hint, list(hint.__members__.values()))
    if dataclasses.is_dataclass(hint) and isinstance(hint, type):
        return message_schema(hint)
    raise TypeError(f"messages have no fields of the type {hint!r}")


def _tuple_schema(arguments: tuple[Any, ...]) -> CoreSchema:
    if len(arguments) == 2 and arguments[1] is Ellipsis:
        return core_schema.tuple_schema([_value_schema(arguments[0])], variadic_item_index=0)
    return core_schema.tuple_schema([_value_schema(argument) for argument in arguments])
