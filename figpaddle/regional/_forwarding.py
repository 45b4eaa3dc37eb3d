"""Encodes the header fields with which an entry forwards a request to another region."""

from __future__ import annotations

import dataclasses
import io
import math
from typing import Any

import cbor2

from figpaddle.deployment import GatewayRoute, GatewayService, Repeat
from figpaddle.errors import MalformedRequestError
from figpaddle.http1 import Headers, HttpRequest, ResponseHead, end_to_end, header, with_header

#: Header field that carries the terms of a forwarded request in hexadecimal: a CBOR sequence (RFC 8742)
#: of a list with a fixed number of fields and a map of later ones. A build that doesn't know the map
#: reads the list alone, and missing fields of the map have defaults.
TERMS_FIELD = b"figpaddle-terms"
#: Header field of a failure that states whether the request ran: ``not run`` or ``unknown``.
OUTCOME_FIELD = b"figpaddle-outcome"
#: Header field of a stream that names the version that began it, UTF-8 in hexadecimal.
VERSION_FIELD = b"figpaddle-version"
#: Header field of a stream, a failure or an interim response that states how many attempts reached a
#: backend server so far.
ATTEMPTS_FIELD = b"figpaddle-attempts"
#: Header field of an interim response that states for how long a backend server is silent, milliseconds.
SILENCE_FIELD = b"figpaddle-silence-ms"
#: Status of an interim response by which an entry states that it is at work on a request (RFC 2518).
PROCESSING = 102
#: Largest number of digits of a stated silence.
MAX_SILENCE_DIGITS = 7
#: Largest number of digits of such a statement.
MAX_ATTEMPTS_DIGITS = 4
#: Length of the key that marks such statements within a stream, bytes.
STATEMENT_KEY_BYTES = 8
#: Outcome of a request that did not and will not run.
NOT_RUN = b"not run"
#: Outcome of a request that may have run.
UNKNOWN = b"unknown"


@dataclasses.dataclass(frozen=True, kw_only=True)
class ForwardingTerms:
    """Decisions about a forwarded request, made by the entry that accepted it from its caller."""

    #: Region of the entry that accepted the request.
    origin: str
    #: Revision of the cluster state on which the decisions rest.
    revision: int
    #: Time until the deadline of the final answer, seconds.
    left_s: float
    #: Attempts that may still reach a backend server.
    attempts: int
    #: Id of the last event that the caller received; empty for none.
    last_event: str
    route: GatewayRoute
    service: GatewayService
    #: Digest that identifies the request when it is sent again; empty if the sender doesn't state it.
    digest: bytes = b""
    #: Version of the software that began the stream; None if it hasn't begun.
    version: str | None = None
    #: Whether the sender reads the version in the head of a stream.
    reads_version: bool = False
    #: Whether the sender reads how many attempts were used, and takes up a stream itself once it has begun.
    reads_attempts: bool = False
    #: Secret prefix of the statements of further attempts within a stream; empty if the sender reads none.
    statement_key: bytes = b""
    #: Whether the sender reads interim responses with the attempts used.
    reads_interim: bool = False
    #: Whether the sender keeps the request elsewhere until the receiver states that it has sent it on.
    is_offer: bool = False
    #: When it was sent, seconds of a clock of the sender that goes on while its machine is suspended;
    #: None if the sender doesn't state it.
    sent_at_s: float | None = None
    #: Number of the sending process's run; 0 if the sender doesn't state it.
    incarnation: int = 0
    #: Digest by which the request may have crashed a backend server; None if the sender knows of none.
    suspect: bytes | None = None
    #: Whether the sender offers the request elsewhere only in its turn, which each statement of a silence
    #: begins.
    takes_turns: bool = False
    #: Time until the end of the answer by what the sender has measured, seconds; None if it doesn't know.
    answer_s: float | None = None
    #: Name of the workspace of which the caller had a key; empty if it needed none.
    workspace: str = ""


def encode_terms(terms: ForwardingTerms) -> bytes:
    """Return the value of the header field that carries ``terms``."""
    route = terms.route
    fields = [
        terms.origin,
        terms.revision,
        terms.left_s,
        terms.attempts,
        terms.last_event,
        [
            route.name,
            route.streaming,
            route.repeat.value,
            route.target_s,
            route.gap_s,
            route.priority,
            list(route.home_regions),
        ],
        dataclasses.astuple(terms.service),
    ]
    later_fields = {
        "digest": terms.digest,
        "version": terms.version,
        "reads_version": terms.reads_version,
        "reads_attempts": terms.reads_attempts,
        "statement_key": terms.statement_key,
        "reads_interim": terms.reads_interim,
        "is_offer": terms.is_offer,
        "sent_at_s": terms.sent_at_s,
        "incarnation": terms.incarnation,
        "suspect": terms.suspect,
        "takes_turns": terms.takes_turns,
        "answer_s": terms.answer_s,
        "workspace": terms.workspace,
    }
    return (cbor2.dumps(fields) + cbor2.dumps(later_fields)).hex().encode()


def decode_terms(request: HttpRequest) -> ForwardingTerms:
    """Return the terms of a forwarded request; raises MalformedRequestError."""
    encoded = header(request.headers, TERMS_FIELD) or b""
    try:
        items = _decode_sequence(bytes.fromhex(encoded.decode("ascii")))
        origin, revision, left_s, attempts, last_event, route, service = items[0]
        later_fields = items[1] if len(items) > 1 else {}
        name, streaming, repeat, target_s, gap_s, priority, home_regions = route
        return ForwardingTerms(
            origin=origin,
            revision=revision,
            left_s=left_s,
            attempts=attempts,
            last_event=last_event,
            route=GatewayRoute(
                name=name,
                host="",
                path_prefix="/",
                streaming=streaming,
                repeat=Repeat(repeat),
                timeout_s=left_s,
                target_s=target_s,
                gap_s=gap_s,
                priority=priority,
                max_attempts=attempts,
                services=((service[0], 1),),
                home_regions=tuple(home_regions),
            ),
            service=GatewayService(
                **dict(
                    zip(
                        (field.name for field in dataclasses.fields(GatewayService)),
                        service,
                        strict=True,
                    )
                )
            ),
            digest=bytes(later_fields.get("digest", b"")),
            version=later_fields.get("version"),
            reads_version=bool(later_fields.get("reads_version", False)),
            reads_attempts=bool(later_fields.get("reads_attempts", False)),
            statement_key=bytes(later_fields.get("statement_key", b"")),
            reads_interim=bool(later_fields.get("reads_interim", False)),
            is_offer=bool(later_fields.get("is_offer", False)),
            sent_at_s=_optional_float(later_fields.get("sent_at_s")),
            incarnation=int(later_fields.get("incarnation", 0)),
            suspect=_optional_bytes(later_fields.get("suspect")),
            takes_turns=bool(later_fields.get("takes_turns", False)),
            answer_s=_optional_float(later_fields.get("answer_s")),
            workspace=_text(later_fields.get("workspace", "")),
        )
    except (
        cbor2.CBORDecodeError,
        ValueError,
        TypeError,
        IndexError,
        AttributeError,
        OverflowError,
    ) as error:
        raise MalformedRequestError(
            what="the terms of a forwarded request are malformed", status=400
        ) from error


def _optional_float(value: object) -> float | None:
    """Return a finite number as it is, and None for None; raises MalformedRequestError."""
    if value is None:
        return None
    if not isinstance(value, (int, float)) or not math.isfinite(value):
        raise MalformedRequestError(what="a time in the terms is no finite number", status=400)
    return float(value)


def _optional_bytes(value: object) -> bytes | None:
    """Return bytes as they are, and None for None; raises MalformedRequestError."""
    if value is not None and not isinstance(value, bytes):
        raise MalformedRequestError(what="the suspect digest is no bytes", status=400)
    return value


def _text(value: object) -> str:
    """Return a text as it is; raises MalformedRequestError."""
    if not isinstance(value, str):
        raise MalformedRequestError(what="the workspace is no text", status=400)
    return value


def _decode_sequence(data: bytes) -> list[Any]:
    """Return the items of a CBOR sequence."""
    stream = io.BytesIO(data)
    decoder = cbor2.CBORDecoder(stream)
    items = []
    while stream.tell() < len(data):
        items.append(decoder.decode())
    return items


def forwarding_headers(request: HttpRequest, terms: ForwardingTerms) -> Headers:
    """Return the header fields with which a request is forwarded to another entry.

    A caller's own field of that name is replaced, since only entries may set the terms.
    """
    fields = with_header(end_to_end(request.headers), TERMS_FIELD, encode_terms(terms))
    return with_header(fields, b"Content-Length", str(len(request.body)).encode())


def is_forwarded(request: HttpRequest) -> bool:
    """Return whether a request carries the terms of a forwarded one."""
    return header(request.headers, TERMS_FIELD) is not None


def stated_attempts(headers: Headers) -> int | None:
    """Return how many attempts another entry states that it used; None if it states no sound number."""
    return _read_attempts(header(headers, ATTEMPTS_FIELD) or b"")


def interim_headers(attempts: int, *, silent_s: float | None) -> Headers:
    """Return the header fields of an interim response that states the attempts used.

    ``silent_s`` is for how long the server of the present one is silent, if no other place of that
    entry can take the request; None for an attempt that begins.
    """
    fields: Headers = ((ATTEMPTS_FIELD, str(attempts).encode()),)
    if silent_s is not None:
        fields = (*fields, (SILENCE_FIELD, str(round(1000 * silent_s)).encode()))
    return fields


def is_interim_statement(head: ResponseHead) -> bool:
    """Return whether an interim response of another entry states the attempts used."""
    return head.status == PROCESSING and stated_attempts(head.headers) is not None


def stated_silence_s(headers: Headers) -> float | None:
    """Return for how long a server is silent by an interim response; None if it states no silence.

    >>> stated_silence_s(interim_headers(1, silent_s=1.5))
    1.5
    >>> stated_silence_s(interim_headers(2, silent_s=None)) is None
    True
    """
    return _read_silence(header(headers, SILENCE_FIELD) or b"")


def encode_statement(key: bytes, attempts: int) -> bytes:
    """Return the comment of an event stream by which an entry states there how many attempts it uses.

    Backend servers don't know the key, so no comment of theirs passes for a statement.

    >>> encode_statement(b"key", 2)
    b': 6b6579 2\\n\\n'
    """
    return b": %b %d\n\n" % (key.hex().encode(), attempts)


def decode_statement(key: bytes, event: bytes) -> int | None:
    """Return the number in a statement; None if an event is none.

    >>> decode_statement(b"key", encode_statement(b"key", 2))
    2
    >>> decode_statement(b"key", b": 6b6579\\n\\n") is None
    True
    """
    stated = _stated_in_comment(key, event)
    return None if stated is None else _read_attempts(stated)


def encode_silence(key: bytes, *, silent_s: float) -> bytes:
    r"""Return the comment of an event stream by which an entry states for how long a server is silent.

    >>> encode_silence(b"key", silent_s=1.8)
    b': 6b6579 silent 1800\n\n'
    """
    return b": %b silent %d\n\n" % (key.hex().encode(), round(1000 * silent_s))


def decode_silence(key: bytes, event: bytes) -> float | None:
    """Return the time in a statement of a silence, seconds; None if an event is none.

    >>> decode_silence(b"key", encode_silence(b"key", silent_s=1.8))
    1.8
    >>> decode_silence(b"key", encode_statement(b"key", 2)) is None
    True
    """
    stated = _stated_in_comment(key, event)
    if stated is None or not stated.startswith(b"silent "):
        return None
    return _read_silence(stated.removeprefix(b"silent "))


def _stated_in_comment(key: bytes, event: bytes) -> bytes | None:
    """Return what a comment of an event stream states that is marked with ``key``; None if an event is none."""
    prefix = b": %b " % key.hex().encode()
    if not key or not event.startswith(prefix):
        return None
    return event.removeprefix(prefix).rstrip(b"\r\n")


def _read_silence(value: bytes) -> float | None:
    return int(value) / 1000 if value.isdigit() and len(value) <= MAX_SILENCE_DIGITS else None


def _read_attempts(value: bytes) -> int | None:
    return int(value) if value.isdigit() and len(value) <= MAX_ATTEMPTS_DIGITS else None


def without_statements(headers: Headers) -> Headers:
    """Return the header fields of a backend server's answer, without those that only entries set."""
    statements = (OUTCOME_FIELD, VERSION_FIELD, ATTEMPTS_FIELD)
    return tuple(field for field in headers if field[0].lower() not in statements)


def without_terms(headers: Headers) -> Headers:
    """Return the header fields of the caller's request, without the terms."""
    return tuple(field for field in headers if field[0].lower() != TERMS_FIELD)
