"""The platform's header, field and path names are used in its adapter only."""

from __future__ import annotations

import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).parent.parent

#: Names of the platform's headers, fields and paths that figpaddle doesn't use itself.
NAMES = re.compile(
    r"x-figpaddle-|heartbeat-addr|warmup-left|kv-token-bytes|kv-capacity-tokens|"
    r"target-latency-ms|target-gap-ms|path-prefix|max-conns|readiness-addr|home-regions|"
    r"/v1/(resolve|ready|config/|evacuate|instances)|internal-ports|non_idempotent",
    re.IGNORECASE,
)


def leaks(text: str) -> list[str]:
    return [line.strip() for line in text.splitlines() if NAMES.search(line)]


@pytest.mark.parametrize(
    "path", sorted((ROOT / "figpaddle").rglob("*.py")), ids=lambda path: path.name
)
def test_the_product_uses_no_name_of_the_platform(path: pathlib.Path) -> None:
    assert not leaks(path.read_text(encoding="utf-8"))


def test_the_check_finds_a_name_of_the_platform() -> None:
    assert leaks('REQUEST_ID = b"X-Figpaddle-Request-Id"')
    assert leaks('    case b"GET", "/v1/resolve":')
