"""Log lines keep the format of structlog's logfmt renderer."""

from __future__ import annotations

import pytest
import structlog

from figpaddle.telemetry._line_renderer import FIRST_FIELDS, render_line

VALUES = (
    None,
    True,
    False,
    0,
    -1.5,
    "",
    "a b",
    'a"b',
    "a=b",
    "a\\b",
    "a \\b",
    "a\nb",
    b"x",
    (1, 2),
)


def test_lines_look_as_structlog_renders_them() -> None:
    reference = structlog.processors.LogfmtRenderer(key_order=FIRST_FIELDS)
    for value in VALUES:
        fields = {"request": value, "event": "request_ended", "level": "info", "time": "now"}
        assert render_line(None, "", dict(fields)) == reference(None, "", dict(fields))


def test_a_key_with_a_space_is_refused() -> None:
    with pytest.raises(ValueError, match="Invalid key"):
        render_line(None, "", {"a b": 1})
