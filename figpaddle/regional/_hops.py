"""How an entry hands a request to an entry of another region."""

from __future__ import annotations

import dataclasses

import cbor2

from figpaddle.deployment import GatewayRoute, GatewayService, Repeat
from figpaddle.errors import MalformedRequestError
from figpaddle.http1 import Headers, HttpRequest, end_to_end, header, with_header

#: Field that carries the terms of a forwarded request, CBOR in hexadecimal.
TERMS_FIELD = b"figpaddle-terms"
#: Field of a refusal that says what is known: ``not run`` or ``unknown``.
OUTCOME_FIELD = b"figpaddle-outcome"
#: Value of the outcome where the request has not run and won't.
NOT_RUN = b"not run"
#: Value of the outcome where it may have run.
UNKNOWN = b"unknown"


@dataclasses.dataclass(frozen=True, kw_only=True)
class HopTerms:
    """What the entry that took a request from its caller has decided about it."""

    #: Region of that entry.
    origin: str
    #: Revision of the agreed state that decided.
    revision: int
    #: Time left for the final answer, seconds.
    left_s: float
    #: Attempts that may still reach a backend server.
    attempts: int
    #: Last event that the caller has.
    last_event: str
    route: GatewayRoute
    service: GatewayService


def encode_terms(terms: HopTerms) -> bytes:
    """Return the value of the field that carries ``terms``."""
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
    return cbor2.dumps(fields).hex().encode()


def decode_terms(request: HttpRequest) -> HopTerms:
    """Return the terms of a forwarded request; raises MalformedRequestError."""
    value = header(request.headers, TERMS_FIELD) or b""
    try:
        origin, revision, left_s, attempts, last_event, route, service = cbor2.loads(
            bytes.fromhex(value.decode("ascii"))
        )
        name, streaming, repeat, target_s, gap_s, priority, homes = route
        return HopTerms(
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
                home_regions=tuple(homes),
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
        )
    except (cbor2.CBORDecodeError, ValueError, TypeError, IndexError) as error:
        raise MalformedRequestError(what="unreadable terms of a hop", status=400) from error


def hop_headers(request: HttpRequest, terms: HopTerms) -> Headers:
    """Return the header with which a request goes to the other entry.

    Whatever a caller sent under the name of the field is dropped: only an entry sets terms.
    """
    fields = with_header(end_to_end(request.headers), TERMS_FIELD, encode_terms(terms))
    return with_header(fields, b"Content-Length", str(len(request.body)).encode())


def without_terms(headers: Headers) -> Headers:
    """Return the header of the caller's own request."""
    return tuple(field for field in headers if field[0].lower() != TERMS_FIELD)
