"""CBOR encoding of typed messages between instances."""

from __future__ import annotations

import dataclasses
from typing import Any, ClassVar, TypeVar

import cbor2
from pydantic_core import SchemaSerializer, SchemaValidator, ValidationError

from figpaddle.errors import MalformedMessageError, UnknownMessageError
from figpaddle.wire._message_schemas import message_schema

#: Version of the message format; frames of any other version are rejected.
PROTOCOL_VERSION = 1
#: Largest frame accepted on a control link, bytes.
MAX_FRAME_BYTES = 4 * 1024 * 1024

_REGISTRY: dict[str, type[Message]] = {}
_ADAPTERS: dict[str, _Adapter] = {}

MessageT = TypeVar("MessageT", bound="type[Message]")


class Message:
    """Base of all messages between instances and of all encoded entries in storage.

    A message is a frozen keyword-only data class, registered under a stable name:

    >>> @message("example.ping")
    ... @dataclasses.dataclass(frozen=True, kw_only=True)
    ... class Ping(Message):
    ...     number: int
    >>> decode(encode(Ping(number=3)))
    Ping(number=3)
    """

    #: Stable name of the type on the wire.
    wire_name: ClassVar[str] = ""


def message(name: str) -> Any:
    """Return a class decorator that registers a message type under ``name``."""

    def register(cls: MessageT) -> MessageT:
        cls.wire_name = name
        _REGISTRY[name] = cls
        return cls

    return register


class _Adapter:
    """Converts the messages of one type from and to plain values."""

    def __init__(self, cls: type[Message]) -> None:
        schema = message_schema(cls)
        self.validate = SchemaValidator(schema).validate_python
        self.dump = SchemaSerializer(schema).to_python


def _adapter(cls: type[Message]) -> _Adapter:
    adapter = _ADAPTERS.get(cls.wire_name)
    if adapter is None:
        adapter = _Adapter(cls)
        _ADAPTERS[cls.wire_name] = adapter
    return adapter


def _encode_enum(encoder: cbor2.CBOREncoder, value: Any) -> None:
    encoder.encode(value.value)


def encode(item: Message, *, correlation: int = 0) -> bytes:
    """Return ``item`` as a frame; ``correlation`` matches a reply to its request, 0 for none.

    Raises MalformedMessageError for an item with a text that can't be encoded.
    """
    fields = _adapter(type(item)).dump(item)
    try:
        return cbor2.dumps(
            [PROTOCOL_VERSION, item.wire_name, correlation, fields], default=_encode_enum
        )
    except (UnicodeEncodeError, cbor2.CBOREncodeError) as error:
        raise MalformedMessageError(
            what="a field can't be encoded", where=item.wire_name
        ) from error


@dataclasses.dataclass(frozen=True, kw_only=True)
class Frame:
    """A decoded frame: the message and its correlation number."""

    #: The message itself.
    item: Message
    #: Number that matches a reply to its request; 0 for a message without a reply.
    correlation: int


def decode_frame(data: bytes) -> Frame:
    """Decode the frame in ``data``.

    Raises MalformedMessageError for bytes that aren't a valid message, and UnknownMessageError for
    an unsupported version or message type.
    """
    try:
        decoded = cbor2.loads(data)
        version, name, correlation, fields = decoded
    except (cbor2.CBORDecodeError, ValueError, TypeError, RecursionError) as error:
        raise MalformedMessageError(what="the data is not a CBOR frame", where="frame") from error
    if not isinstance(correlation, int):
        raise MalformedMessageError(
            what="the correlation number is not an integer", where=str(name)
        )
    if version != PROTOCOL_VERSION:
        raise UnknownMessageError(
            what=f"unsupported protocol version {version!r}",
            hint=f"use version {PROTOCOL_VERSION}",
            correlation=correlation,
        )
    cls = _REGISTRY.get(name) if isinstance(name, str) else None
    if cls is None:
        raise UnknownMessageError(what=f"unknown message type {name!r}", correlation=correlation)
    try:
        return Frame(item=_adapter(cls).validate(fields), correlation=correlation)
    except ValidationError as error:
        raise MalformedMessageError(
            what=f"{error.error_count()} invalid fields", where=str(name)
        ) from error


def decode(data: bytes) -> Message:
    """Decode the message in ``data``; raises the same errors as ``decode_frame``."""
    return decode_frame(data).item
