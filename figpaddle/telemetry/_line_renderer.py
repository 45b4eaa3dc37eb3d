"""Renders the fields of a log event as one line."""

from __future__ import annotations

import functools
import re
from collections.abc import MutableMapping
from typing import Any

#: Fields that come first, in this order.
FIRST_FIELDS = ("time", "level", "event")

_NEEDS_QUOTES = re.compile(r'[ ="]')
_NEEDS_ESCAPE = re.compile(r'["\n]')


def render_line(_logger: Any, _method: str, fields: MutableMapping[str, Any]) -> str:
    """Return a log event as ``key=value`` pairs, in the format of ``structlog``'s logfmt renderer.

    That one looks at each character of each key for each line, which took most of the time of a line.
    Raises ValueError for a key with a space or a control character.

    >>> render_line(None, "", {"request": "a b", "event": "done", "late": True, "reason": None})
    'event=done request="a b" late reason='
    """
    parts = [_pair(key, fields.pop(key, None)) for key in FIRST_FIELDS if key in fields]
    parts += [_pair(key, value) for key, value in fields.items()]
    return " ".join(parts)


def _pair(key: str, value: object) -> str:
    prefix = _prefix(key)
    kind = type(value)
    if kind is int or kind is float:
        return f"{prefix}{value}"
    if value is None:
        return prefix
    if kind is bool:
        return key if value else f"{prefix}false"
    text = value if isinstance(value, str) else str(value)
    is_quoted = _NEEDS_QUOTES.search(text) is not None
    if is_quoted and "\\" in text:
        text = text.replace("\\", "\\\\")
    if _NEEDS_ESCAPE.search(text) is not None:
        text = text.replace('"', '\\"').replace("\n", "\\n")
    return f'{prefix}"{text}"' if is_quoted else f"{prefix}{text}"


@functools.lru_cache(maxsize=1024)
def _prefix(key: str) -> str:
    """Return a key with its equals sign; the keys of a program are few."""
    if any(character <= " " for character in key):
        raise ValueError(f'Invalid key: "{key}"')
    return f"{key}="
