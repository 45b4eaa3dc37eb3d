"""The adapter decodes the platform's messages, well formed or not, and encodes requests for it."""

from __future__ import annotations

import json
import pathlib
from typing import Any

import pytest

import tests.platform_path  # noqa: F401

from boot_settings import read_settings  # isort: skip
from wire_dialect import PlatformDialect  # isort: skip

from figpaddle.deployment import QuotaUnit, Repeat, WorkspaceQuota
from figpaddle.errors import InvalidRequestError, SettingsError
from figpaddle.http1 import Headers, HttpRequest, ResponseHead, header, with_header
from figpaddle.regional import (
    BackendCall,
    EntryLookup,
    GetConfiguration,
    InvalidConfigurationError,
    PutConfiguration,
    ReadinessCheck,
    SetEvacuation,
)
from figpaddle.regional._events import EventSplitter
from figpaddle.routing import BackendReport
from figpaddle.wire import BackendState, InstanceRole

DIALECT = PlatformDialect()


def request(
    method: str = "POST", target: str = "/chat/1", headers: Headers = (), body: bytes = b""
) -> HttpRequest:
    return HttpRequest(
        method=method.encode(),
        target=target.encode(),
        headers=headers,
        body=body,
        caller="10.0.0.9",
        received_at=0.0,
        arrived_after=0.0,
    )


FULL_HEADERS: Headers = (
    (b"Host", b"Guide.example:80"),
    (b"X-Figpaddle-Request-Id", b"abc"),
    (b"X-Figpaddle-Model", b"m"),
    (b"X-Figpaddle-Token-Counts", b"1460,80"),
    (b"X-Figpaddle-Prompt-Prefix", b"5c1e:800,91bd:410"),
    (b"X-Figpaddle-Deadline-Ms", b"1500"),
    (b"Last-Event-Id", b"12"),
)


def test_a_request_is_decoded_with_all_its_headers() -> None:
    caller = DIALECT.read_request(request(headers=FULL_HEADERS))
    assert (caller.request_id, caller.host, caller.caller_timeout_s) == (
        "abc",
        "guide.example",
        1.5,
    )
    assert (caller.prompt_tokens, caller.output_tokens, caller.last_event) == (1460, 80, "12")
    assert [prefix.tokens for prefix in caller.prefixes] == [800, 1210]


@pytest.mark.parametrize(
    ("parts", "expected"),
    [
        ("5c1e:800,91bd:410,e4:20", ("5c1e", "91bd")),
        ("91BD:410, 5c1e:800,91bd:410,e4:20", ("91bd", "5c1e")),
        ("e4:20", ()),
        ("", ()),
        (",,e4", ()),
    ],
)
def test_shared_parts_are_all_but_the_last_wherever_they_stand(
    parts: str, expected: tuple[str, ...]
) -> None:
    headers = ((b"X-Figpaddle-Request-Id", b"a"), (b"X-Figpaddle-Prompt-Prefix", parts.encode()))
    assert DIALECT.read_request(request(headers=headers)).shared_parts == expected


@pytest.mark.parametrize(
    ("field", "limit_per_s", "unreadable"),
    [
        (b"1.2", 1.2, False),
        (b"0", 0.0, False),
        (b"1e9", 1e9, False),
        (b"-1", None, True),
        (b"nan", None, True),
        (b"inf", None, True),
        (b"many", None, True),
        (None, None, False),
    ],
)
def test_the_limit_that_a_backend_server_names_is_decoded(
    field: bytes | None, limit_per_s: float | None, unreadable: bool
) -> None:
    headers = () if field is None else ((b"Server-Limit", field),)
    answer = DIALECT.read_answer(ResponseHead(status=200, headers=headers))
    assert (answer.limit_per_s, answer.limit_unreadable) == (limit_per_s, unreadable)


@pytest.mark.parametrize(
    ("value", "warmup_s"),
    [(b"1500", 1.5), (b"0", 0.0), (b"-1", None), (b"soon", None), (None, 0.0)],
)
def test_an_answer_to_a_health_check_tells_how_long_its_server_stays_cold(
    value: bytes | None, warmup_s: float | None
) -> None:
    headers: Headers = ((b"X-Figpaddle-Instance-Id", b"i-1"),)
    if value is not None:
        headers += ((b"X-Figpaddle-Cold-Ms", value),)
    answer = DIALECT.read_health(ResponseHead(status=200, headers=headers))
    assert (answer.backend, answer.is_of_check, answer.healthy) == ("i-1", True, True)
    assert answer.warmup_s == warmup_s
    assert not DIALECT.read_health(ResponseHead(status=503, headers=headers)).healthy


def test_the_answer_to_a_request_is_none_to_a_health_check() -> None:
    headers: Headers = (
        (b"X-Figpaddle-Instance-Id", b"i-1"),
        (b"X-Figpaddle-Request-Id", b"abc"),
    )
    assert not DIALECT.read_health(ResponseHead(status=200, headers=headers)).is_of_check


def test_equal_parts_after_different_ones_are_different_prefixes() -> None:
    def digest(parts: bytes) -> int:
        headers = (*FULL_HEADERS[:2], (b"X-Figpaddle-Prompt-Prefix", parts))
        return DIALECT.read_request(request(headers=headers)).prefixes[-1].digest

    assert digest(b"aa:10,cc:10") != digest(b"bb:10,cc:10")


@pytest.mark.parametrize(
    ("name", "value"),
    [
        (b"X-Figpaddle-Deadline-Ms", b"soon"),
        (b"X-Figpaddle-Deadline-Ms", b"-5"),
        (b"X-Figpaddle-Deadline-Ms", b"nan"),
        (b"X-Figpaddle-Token-Counts", b"many"),
        (b"X-Figpaddle-Token-Counts", b"1,2,3"),
        (b"X-Figpaddle-Prompt-Prefix", b"no colon,:,a:b"),
    ],
)
def test_a_malformed_header_counts_as_missing(name: bytes, value: bytes) -> None:
    caller = DIALECT.read_request(request(headers=(*FULL_HEADERS[:2], (name, value))))
    assert (caller.caller_timeout_s, caller.prompt_tokens, caller.prefixes) == (None, 0, ())


def test_a_request_without_an_id_is_invalid() -> None:
    with pytest.raises(InvalidRequestError):
        DIALECT.read_request(request(headers=((b"Host", b"a"),)))


EVENT_IDS = (b"12", "caf\u00e9-1".encode(), "l\u00e0".encode(), b"\xe9", "\u4f60".encode())


def last_event_id_sent(last_event: str) -> bytes | None:
    headers = DIALECT.backend_headers(
        request(headers=FULL_HEADERS),
        backend="i-7",
        remaining_s=1.0,
        priority=2,
        last_event=last_event,
    )
    return header(headers, b"last-event-id")


@pytest.mark.parametrize("event_id", EVENT_IDS)
def test_the_id_of_the_last_event_reaches_a_backend_server_unchanged(event_id: bytes) -> None:
    fields = with_header(FULL_HEADERS, b"Last-Event-Id", event_id)
    taken_up = DIALECT.read_request(request(headers=fields))
    assert last_event_id_sent(taken_up.last_event) == event_id
    splitter = EventSplitter(last_event="")
    splitter.feed(b"id: " + event_id + b"\ndata: 1\n\n")
    assert last_event_id_sent(splitter.last_event) == event_id


def test_a_backend_server_gets_the_callers_headers_and_those_that_only_an_entry_may_set() -> None:
    sent = (
        *FULL_HEADERS,
        (b"X-Figpaddle-Hold", b"mine"),
        (b"Kv-From", b"10.0.0.1:80/x"),
        (b"X-Figpaddle-Request-Urgency", b"0"),
        (b"Connection", b"keep-alive, X-Private"),
        (b"X-Private", b"1"),
    )
    headers = DIALECT.backend_headers(
        request(headers=sent, body=b"prompt"),
        backend="i-7",
        remaining_s=1.2345,
        priority=2,
        last_event="13",
    )
    assert header(headers, b"x-figpaddle-expect-instance") == b"i-7"
    assert header(headers, b"x-figpaddle-deadline-ms") == b"1234"
    assert header(headers, b"x-figpaddle-request-urgency") == b"2"
    assert header(headers, b"last-event-id") == b"13"
    assert header(headers, b"content-length") == b"6"
    assert header(headers, b"x-figpaddle-prompt-prefix") == b"5c1e:800,91bd:410"
    names = {name.lower() for name, _ in headers}
    assert not names & {b"x-figpaddle-hold", b"kv-from", b"connection", b"x-private"}


def _load(*, pace: float) -> BackendReport:
    return BackendReport(running=3, waiting=2, slots=8, pace=pace)


@pytest.mark.parametrize(
    ("status", "fields", "not_run", "wrong", "load"),
    [
        (200, ((b"X-Figpaddle-Server-Load", b"3,2,8"),), False, False, _load(pace=1.0)),
        (200, ((b"X-Figpaddle-Server-Load", b"3,2,8,250"),), False, False, _load(pace=2.5)),
        (200, ((b"X-Figpaddle-Server-Load", b"3,2,8,100,7"),), False, False, None),
        (200, ((b"X-Figpaddle-Server-Load", b"3,2,8,-1"),), False, False, None),
        (200, ((b"X-Figpaddle-Server-Load", b"busy"),), False, False, None),
        (503, (), False, False, None),
        (503, ((b"X-Figpaddle-Not-Executed", b"full"),), True, False, None),
        (421, (), True, True, None),
    ],
)
def test_an_answer_says_whether_the_request_ran(
    status: int, fields: Headers, not_run: bool, wrong: bool, load: BackendReport | None
) -> None:
    response = DIALECT.read_answer(ResponseHead(status=status, headers=fields))
    assert (response.not_run, response.wrong_server, response.load) == (not_run, wrong, load)


@pytest.mark.parametrize(
    ("status", "fields", "leaving", "pause_s"),
    [
        (200, ((b"Server-Leaving", b"1"),), True, None),
        (500, ((b"server-leaving", b"1"), (b"Retry-After", b"2")), True, None),
        (200, ((b"Server-Leaving", b"0"),), False, None),
        (503, ((b"Retry-After", b"1.5"),), False, 1.5),
        (503, ((b"Retry-After", b"0"),), False, 0.0),
        (503, ((b"Retry-After", b"-3"),), False, None),
        (503, ((b"Retry-After", b"nan"),), False, None),
        (503, ((b"Retry-After", b"Fri, 04 Dec 2026 07:14:10 GMT"),), False, None),
    ],
)
def test_an_answer_says_whether_its_server_leaves_or_asks_for_a_pause(
    status: int, fields: Headers, leaving: bool, pause_s: float | None
) -> None:
    answer = DIALECT.read_answer(ResponseHead(status=status, headers=fields))
    assert (answer.leaving, answer.pause_s) == (leaving, pause_s)


@pytest.mark.parametrize(
    ("method", "target", "call"),
    [
        ("GET", "/v1/resolve?name=a&region=r&zone=z", EntryLookup(region="r", zone="z")),
        ("GET", "/v1/resolve", EntryLookup(region="", zone="")),
        ("GET", "/v1/ready", ReadinessCheck()),
        ("POST", "/v1/config/put", PutConfiguration()),
        ("GET", "/v1/config/get", GetConfiguration()),
        ("POST", "/v1/evacuate/z%2D1/start", SetEvacuation(zone="z-1", evacuated=True)),
        ("POST", "/v1/evacuate/z/end", SetEvacuation(zone="z", evacuated=False)),
        ("POST", "/v1/instances/i/heartbeat", BackendCall(name="i", leaves=False)),
        ("POST", "/v1/instances/i/leave", BackendCall(name="i", leaves=True)),
        ("GET", "/v1/config/put", None),
        ("POST", "/elsewhere", None),
    ],
)
def test_method_and_path_select_the_call(method: str, target: str, call: object) -> None:
    assert DIALECT.read_call(request(method, target)) == call


HEARTBEAT: dict[str, Any] = {
    "service": "s",
    "address": "10.0.0.5:80",
    "zone": "z",
    "slots": 8,
    "state": "ready",
    "warmup-left-ms": 1500,
    "seq": 4,
    "born": 1000,
}


def test_a_heartbeat_becomes_a_record() -> None:
    record = DIALECT.read_backend(
        BackendCall(name="i", leaves=False), json.dumps(HEARTBEAT).encode()
    )
    assert record is not None
    assert (record.state, record.warmup_s, record.born) == (BackendState.SERVING, 1.5, 1000)


@pytest.mark.parametrize(("value", "version"), [("v1.2", "v1.2"), (None, ""), (2, ""), ("", "")])
def test_a_heartbeat_names_the_version_of_the_software(value: object, version: str) -> None:
    document = json.dumps({**HEARTBEAT, "version": value}).encode()
    record = DIALECT.read_backend(BackendCall(name="i", leaves=False), document)
    assert record is not None and record.version == version


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("service", None),
        ("service", 5),
        ("address", ""),
        ("zone", ["z"]),
        ("state", "sleeping"),
        ("state", {}),
        ("seq", "four"),
        ("seq", -1),
        ("seq", True),
        ("born", 1.5),
    ],
)
def test_a_heartbeat_with_an_invalid_field_gives_no_record(key: str, value: object) -> None:
    body = json.dumps({**HEARTBEAT, key: value}).encode()
    assert DIALECT.read_backend(BackendCall(name="i", leaves=False), body) is None


@pytest.mark.parametrize("body", [b"\xff\xfe", b"{", b"[]", b"7"])
def test_a_heartbeat_that_is_no_json_object_is_invalid(body: bytes) -> None:
    with pytest.raises(InvalidRequestError):
        DIALECT.read_backend(BackendCall(name="i", leaves=False), body)


@pytest.mark.parametrize("body", [b"", b"{}", b'{"seq": 9, "born": 7}'])
def test_a_leave_needs_no_fields(body: bytes) -> None:
    record = DIALECT.read_backend(BackendCall(name="i", leaves=True), body)
    assert record is not None and record.state is BackendState.GONE


def configuration(**changes: Any) -> dict[str, Any]:
    route = {
        "name": "r",
        "host": "Guide.example",
        "path-prefix": "/chat/",
        "kind": "streaming",
        "timeout-ms": 10000,
        "target-latency-ms": 600,
        "priority": 1,
        "service": "s",
        "max-attempts": 2,
        "resumable": True,
        "target-gap-ms": 300,
        "home-regions": ["north"],
    }
    route.update(changes)
    service = {"name": "s", "max-conns": 50, "cold-per-s": 4.1, "engine": {"slots": 16}}
    return {"version": 3, "routes": [route], "services": [service], "limits": {}}


def read_configuration(document: object) -> Any:
    return DIALECT.read_configuration(json.dumps(document).encode())


def test_a_configuration_becomes_routes_and_services() -> None:
    found = read_configuration(configuration())
    route = found.route_for("guide.example", "/chat/7")
    assert (route.repeat, route.target_s, route.max_attempts) == (Repeat.RESUMABLE, 0.6, 2)
    assert route.allows("north") and not route.allows("south")
    assert found.service("s").slots == 16


@pytest.mark.parametrize(
    ("kind", "resumable", "repeat"),
    [
        ("idempotent", False, Repeat.IDEMPOTENT),
        ("non_idempotent", False, Repeat.ONCE),
        ("non_idempotent", True, Repeat.ONCE),
        ("streaming", False, Repeat.ONCE),
        ("streaming", True, Repeat.RESUMABLE),
        ("never heard of", True, Repeat.ONCE),
    ],
)
def test_the_kind_of_a_route_decides_whether_requests_are_repeatable(
    kind: str, resumable: bool, repeat: Repeat
) -> None:
    assert (
        read_configuration(configuration(kind=kind, resumable=resumable)).routes[0].repeat is repeat
    )


@pytest.mark.parametrize(
    "changes",
    [
        {"service": "unknown"},
        {"timeout-ms": 0},
        {"timeout-ms": "long"},
        {"split": [{"service": "s", "weight": 0}]},
        {"split": [{"service": "other", "weight": 1}]},
        {"host": None},
    ],
)
def test_an_invalid_route_is_refused(changes: dict[str, Any]) -> None:
    with pytest.raises(InvalidConfigurationError):
        read_configuration(configuration(**changes))


def test_two_routes_may_not_share_a_host_and_path_prefix() -> None:
    document = configuration()
    document["routes"] = document["routes"] * 2
    with pytest.raises(InvalidConfigurationError):
        read_configuration(document)


@pytest.mark.parametrize("body", [b"", b'{"version": 3, "routes"', b"[]", b'{"version": 3}'])
def test_an_incomplete_configuration_is_refused(body: bytes) -> None:
    with pytest.raises(InvalidConfigurationError):
        DIALECT.read_configuration(body)


def test_the_longest_path_prefix_selects_the_route() -> None:
    document = configuration()
    longer = {**document["routes"][0], "name": "long", "path-prefix": "/chat/long/"}
    document["routes"].append(longer)
    found = read_configuration(document)
    assert found.route_for("guide.example", "/chat/long/1").name == "long"
    assert found.route_for("guide.example", "/chat/1").name == "r"
    assert found.route_for("guide.example", "/chat") is None
    assert found.route_for("other.example", "/chat/1") is None


SETTINGS = """\
node-name=front-1
serves=front,directory
ip=10.1.0.38
zone=z1
region=north
zones.z1=north
zones.z2=south
listen.front=10.1.0.38:8149
listen.readiness-addr=10.1.0.38:8141
listen.directory=10.1.0.38:8143
internal-ports=7380,7395
seeds=10.1.0.41:8144,10.2.0.42:8144
bootstrap=true
bounds.grace-s=8
a-new-key=anything
"""


def settings_file(folder: pathlib.Path, text: str) -> pathlib.Path:
    path = folder / "boot.conf"
    path.write_text(text, encoding="utf-8")
    return path


def test_settings_are_read_and_unknown_keys_ignored(tmp_path: pathlib.Path) -> None:
    found = read_settings(settings_file(tmp_path, SETTINGS))
    assert (found.role, found.ip, found.peer_port) == (InstanceRole.ENTRY, "10.1.0.38", 7380)
    assert found.seeds == ("10.1.0.41", "10.2.0.42") and found.first_start
    assert found.zones_of_region == {"z1"}


@pytest.mark.parametrize("key", ["ip", "region", "listen.front", "internal-ports", "seeds"])
def test_a_missing_setting_is_named(tmp_path: pathlib.Path, key: str) -> None:
    lines = [line for line in SETTINGS.splitlines() if not line.startswith(f"{key}=")]
    with pytest.raises(SettingsError) as caught:
        read_settings(settings_file(tmp_path, "\n".join(lines)))
    assert [fault.path for fault in caught.value.faults] == [key]


@pytest.mark.parametrize(
    ("key", "value"),
    [("listen.front", "nowhere"), ("bootstrap", "maybe"), ("bounds.grace-s", "long")],
)
def test_a_malformed_setting_is_named(tmp_path: pathlib.Path, key: str, value: str) -> None:
    lines = [line for line in SETTINGS.splitlines() if not line.startswith(f"{key}=")]
    text = "\n".join([*lines, f"{key}={value}"])
    with pytest.raises(SettingsError) as caught:
        read_settings(settings_file(tmp_path, text))
    assert [fault.path for fault in caught.value.faults] == [key]


def test_a_missing_settings_file_is_a_settings_error(tmp_path: pathlib.Path) -> None:
    with pytest.raises(SettingsError):
        read_settings(tmp_path / "missing")


TENANTS = [
    {"name": "desk", "api-keys": ["desk-key", "desk-key-2"], "priority": 1, "rate-per-s": 0},
    {
        "name": "field",
        "api-keys": ["field-key"],
        "home-regions": ["south"],
        "rate-per-s": 900,
        "burst": 400,
        "unit": "token_stream",
        "plain-tokens": 200,
    },
]


def test_workspaces_are_found_by_the_keys_of_callers() -> None:
    found = read_configuration({**configuration(public=True), "tenants": TENANTS})
    assert found.routes[0].public
    caller = DIALECT.read_request(
        request(headers=(*FULL_HEADERS, (b"X-Figpaddle-Key", b" field-key ")))
    )
    field = found.workspace_for(caller.key_digest)
    assert (field.name, field.home_regions, field.priority) == ("field", ("south",), None)
    assert field.quota == WorkspaceQuota(
        per_s=900.0, burst=400.0, unit=QuotaUnit.TOKENS, plain_cost=200.0
    )
    desk = found.workspace("desk")
    assert (desk.priority, desk.quota, len(desk.key_digests)) == (1, None, 2)
    assert found.workspace_for(DIALECT.read_request(request(headers=FULL_HEADERS)).key_digest) is (
        None
    )


def test_two_workspaces_with_one_key_are_refused_without_naming_it() -> None:
    tenants = [*TENANTS, {"name": "guest", "api-keys": ["other", "field-key"]}]
    with pytest.raises(InvalidConfigurationError) as refused:
        read_configuration({**configuration(), "tenants": tenants})
    assert "'field'" in str(refused.value) and "'guest'" in str(refused.value)
    assert "field-key" not in str(refused.value)


@pytest.mark.parametrize(
    "tenants",
    [
        {},
        ["desk"],
        [{"api-keys": ["k"]}],
        [{"name": "a\r\nb", "api-keys": ["k"]}],
        [{"name": "desk", "api-keys": "k"}],
        [{"name": "desk", "api-keys": [7]}],
        [{"name": "desk"}, {"name": "desk"}],
    ],
)
def test_malformed_workspaces_are_refused(tenants: object) -> None:
    with pytest.raises(InvalidConfigurationError):
        read_configuration({**configuration(), "tenants": tenants})


def test_what_a_caller_states_of_its_identity_is_replaced() -> None:
    forged: Headers = (
        (b"x-figpaddle-KEY", b"secret"),
        (b"X-Figpaddle-Tenant", b"boss"),
        (b"x-figpaddle-tenant", b"chief"),
    )
    headers = DIALECT.without_identity((*FULL_HEADERS, *forged))
    assert headers == FULL_HEADERS
    sent = DIALECT.backend_headers(
        request(headers=headers),
        backend="i-1",
        remaining_s=1.0,
        priority=0,
        last_event="",
        workspace="desk",
    )
    assert [value for name, value in sent if name.lower() == b"x-figpaddle-tenant"] == [b"desk"]
