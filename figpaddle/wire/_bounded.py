"""Readers of single values from outside: callers, backend servers, operators and other instances.

Each returns None for what isn't a value of its kind within its bounds, so that nothing that was read
can fail later: when it is encoded, logged, computed with or connected to.
"""

from __future__ import annotations

import ipaddress
import json
from typing import Any

#: Largest whole number that JSON readers of all languages keep exactly.
MAX_WHOLE_NUMBER = 2**53 - 1
#: Longest text, characters: names, versions and addresses are far shorter.
MAX_TEXT_LENGTH = 512
#: Most decimal digits of a number in a header field.
MAX_DIGITS = 15
MAX_PORT = 65535


def whole_number(value: object, *, most: int = MAX_WHOLE_NUMBER) -> int | None:
    """Return a number from 0 to ``most``.

    >>> whole_number(3), whole_number(-1), whole_number(True), whole_number(10**400)
    (3, None, None, None)
    """
    if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value <= most:
        return None
    return value


def number(value: object, *, most: float = MAX_WHOLE_NUMBER) -> float | None:
    """Return a finite number from 0 to ``most``.

    >>> number(0.5), number(float("nan")), number(10**400)
    (0.5, None, None)
    """
    if not isinstance(value, int | float) or isinstance(value, bool):
        return None
    # A comparison, unlike a conversion, bears integers of any size.
    return value if 0 <= value <= most else None


def digits(text: str) -> int | None:
    """Return the number that ASCII digits denote.

    >>> digits(" 12 "), digits("²"), digits("9" * 5000)
    (12, None, None)
    """
    text = text.strip()
    if len(text) > MAX_DIGITS or not (text.isascii() and text.isdigit()):
        return None
    return int(text)


def decimal(text: str) -> float | None:
    """Return the finite number from 0 that a header field denotes.

    >>> decimal("1.5"), decimal("1e400"), decimal("-1")
    (1.5, None, None)
    """
    try:
        return number(float(text))
    except ValueError:
        return None


def plain_text(value: object, *, longest: int = MAX_TEXT_LENGTH) -> str | None:
    """Return a text that can be encoded; JSON may contain halves of surrogate pairs.

    >>> plain_text("v1"), plain_text("\\ud800")
    ('v1', None)
    """
    if not isinstance(value, str) or len(value) > longest:
        return None
    return None if any("\ud800" <= character <= "\udfff" for character in value) else value


def socket_address(value: object) -> str | None:
    """Return an IPv4 address with a port, ``HOST:PORT``.

    >>> socket_address("10.0.0.1:80"), socket_address("10.0.0.1:70000")
    ('10.0.0.1:80', None)
    """
    text = plain_text(value)
    if text is None:
        return None
    if port_of(text) is None:
        return None
    try:
        ipaddress.IPv4Address(text.rpartition(":")[0])
    except ValueError:
        return None
    return text


def port_of(address: str) -> int | None:
    """Return the port of an address, ``HOST:PORT``.

    >>> port_of("10.0.0.1:80"), port_of("10.0.0.1:70000")
    (80, None)
    """
    port = digits(address.rpartition(":")[2])
    return port if port is not None and 0 < port <= MAX_PORT else None


def json_document(data: bytes) -> Any:
    """Return the JSON document in ``data``; raises ValueError, also for one nested too deeply."""
    try:
        return json.loads(data)
    except RecursionError as error:
        raise json.JSONDecodeError("nested too deeply", "", 0) from error
