"""The regional programs serve the stand-in platform, without faults and with each kind of fault."""

from __future__ import annotations

import asyncio
import json
import re
import signal
import socket

import anyio
import pytest

from figpaddle.coordination import RECOVERY_BALLOT_DISTANCE
from tests.platform_standin import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    WAIT_TIMEOUT_S,
    Reply,
    configuration,
    control_instances,
    platform_deployment,
)

pytestmark = pytest.mark.anyio

#: Time of a sound server's answers, seconds; longer than is assumed of a server without measurements.
SOUND_ANSWER_S = 0.1


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def test_every_entry_serves_every_route_without_faults() -> None:
    async with platform_deployment() as platform:
        for entry in ("m-4", "m-5", "m-6"):
            for path in ("/chat/1", "/plan/1", "/hold/1", "/read/1"):
                request_id, reply = await platform.send_request(entry, path)
                assert reply.status == 200, (entry, path, platform.log(entry)[-2000:])
                assert reply.headers["x-figpaddle-server-seal"] == f"seal-{request_id}"
                runs = [
                    executed_id
                    for engine in platform.engines
                    for executed_id in engine.executed
                    if executed_id == request_id
                ]
                assert len(runs) == 1
        _, stream = await platform.send_request("m-4", "/chat/1")
        assert stream.body == b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in (1, 2, 3))
        assert (await platform.send_request("m-4", "/nowhere/1"))[1].status == 404
        lookup_document = json.loads((await platform.lookup("m-6", "north")).body)
        assert set(lookup_document["addresses"]) == {
            platform.address(name, "front") for name in ("m-4", "m-5")
        }


async def test_backend_servers_get_the_remaining_deadline_and_the_callers_request_id() -> None:
    async with platform_deployment() as platform:
        request_id, _ = await platform.send_request("m-4", "/hold/1", deadline_ms=1500)
        fields = next(
            engine.request_headers[request_id] for engine in platform.engines if engine.executed
        )
        assert 1000 < int(fields["x-figpaddle-deadline-ms"]) <= 1500
        assert fields["x-figpaddle-request-id"] == request_id


async def test_the_configuration_is_read_back_and_never_changes_under_one_version() -> None:
    async with platform_deployment(engines=False) as platform:
        changed = configuration(5)
        assert (
            await platform.send_operator_command("POST", "/v1/config/put", changed)
        ).status == 200
        assert (
            await platform.send_operator_command(
                "POST", "/v1/config/put", configuration(5, limits={})
            )
        ).status == 200
        other = configuration(5)
        other["routes"] = other["routes"][:1]
        assert (await platform.call_control("m-3", "POST", "/v1/config/put", other)).status == 200
        assert (
            await platform.send_operator_command("POST", "/v1/config/put", configuration(4))
        ).status == 200
        for name in ("m-1", "m-2", "m-3"):
            reply = await platform.call_control(name, "GET", "/v1/config/get")
            assert (reply.status, json.loads(reply.body)) == (200, changed)
        invalid = configuration(6)
        invalid["routes"][0]["service"] = "unknown"
        assert (await platform.call_control("m-2", "POST", "/v1/config/put", invalid)).status == 400


async def test_acknowledged_state_survives_a_kill_of_all_control_instances() -> None:
    async with platform_deployment(engines=False) as platform:
        assert (
            await platform.send_operator_command("POST", "/v1/config/put", configuration(7))
        ).status == 200
        for name in ("m-1", "m-2", "m-3"):
            platform.signal(name, signal.SIGKILL)
        for name in ("m-1", "m-2", "m-3"):
            await platform.restart(name)
        reply = await platform.send_operator_command("GET", "/v1/config/get")
        assert json.loads(reply.body)["version"] == 7


async def test_a_control_instance_that_lost_its_disk_votes_again_with_the_state_of_the_others() -> (
    None
):
    async with platform_deployment(engines=False) as platform:
        assert (
            await platform.send_operator_command("POST", "/v1/config/put", configuration(7))
        ).status == 200
        platform.signal("m-1", signal.SIGKILL)
        await platform.restart("m-1", wipe=True)
        with anyio.fail_after(WAIT_TIMEOUT_S):
            while "voter_recovered" not in platform.log("m-1"):
                await anyio.sleep(0.1)
        platform.signal("m-2", signal.SIGKILL)
        await platform.wait_for_exit("m-2")
        reply = await platform.send_operator_command("GET", "/v1/config/get")
        assert json.loads(reply.body)["version"] == 7
        assert (
            await platform.send_operator_command("POST", "/v1/config/put", configuration(8))
        ).status == 200


async def test_a_change_outlives_the_disk_of_the_instance_that_decided_the_voters() -> None:
    async with control_instances() as platform:
        reply = await platform.send_operator_command("POST", "/v1/config/put", configuration(7))
        assert reply.status == 200
        platform.signal("m-1", signal.SIGKILL)
        await platform.restart("m-1", wipe=True)
        with anyio.fail_after(WAIT_TIMEOUT_S):
            while "voter_recovered" not in platform.log("m-1"):
                await anyio.sleep(0.1)
        reply = await platform.send_operator_command("GET", "/v1/config/get")
        assert json.loads(reply.body)["version"] == 7


async def test_the_configuration_outlives_all_control_instances_of_the_first_start() -> None:
    # Guards against voters that stay those of the first start: after the third replacement of a
    # control instance nothing could be read or changed any more.
    async with control_instances() as platform:
        reply = await platform.send_operator_command("POST", "/v1/config/put", configuration(7))
        assert reply.status == 200
        for number in (1, 2, 3):
            await platform.replace_control(f"m-{number}", f"m-{number + 6}")
            await platform.wait_for_voter(f"m-{number + 6}")
        reply = await platform.send_operator_command("GET", "/v1/config/get")
        assert json.loads(reply.body)["version"] == 7
        reply = await platform.send_operator_command("POST", "/v1/config/put", configuration(8))
        assert reply.status == 200


async def test_voters_are_decided_without_the_lowest_seed_when_its_disk_is_lost() -> None:
    # Guards against a deployment that never has voters: the only instance that decided them lost its
    # disk in the first seconds.
    async with control_instances() as platform:
        await anyio.sleep(1.0)
        platform.signal("m-1", signal.SIGKILL)
        await platform.wait_for_exit("m-1")
        await anyio.sleep(1.0)
        await platform.restart("m-1", wipe=True)
        reply = await platform.send_operator_command("POST", "/v1/config/put", configuration(7))
        assert reply.status == 200
        await platform.wait_for_voter("m-1")


async def test_without_a_majority_nothing_is_acknowledged_or_read() -> None:
    async with platform_deployment(engines=False) as platform:
        for name in ("m-2", "m-3"):
            platform.signal(name, signal.SIGKILL)
            await platform.wait_for_exit(name)
        assert (
            await platform.call_control("m-1", "POST", "/v1/config/put", configuration(9))
        ).status == 503
        assert (await platform.call_control("m-1", "GET", "/v1/config/get")).status == 503


async def test_an_evacuated_zone_gets_no_requests_and_other_regions_serve_its_callers() -> None:
    async with platform_deployment() as platform:
        assert (
            await platform.send_operator_command("POST", "/v1/evacuate/n-a/start")
        ).status == 200
        await anyio.sleep(1.0)
        before = {engine.name: len(engine.executed) for engine in platform.engines}
        for _ in range(4):
            assert (await platform.send_request("m-4", "/chat/1"))[1].status == 200
        north = [engine for engine in platform.engines if engine.zone == "n-a"]
        assert all(len(engine.executed) == before[engine.name] for engine in north)
        refused = (await platform.send_request("m-4", "/home/1"))[1]
        assert refused.status == 503 and float(refused.headers["retry-after"]) > 0
        assert (await platform.send_operator_command("POST", "/v1/evacuate/n-a/end")).status == 200
        await anyio.sleep(1.0)
        assert (await platform.send_request("m-4", "/home/1"))[1].status == 200


async def test_a_draining_backend_server_gets_no_new_requests() -> None:
    async with platform_deployment() as platform:
        draining = next(
            e for e in platform.engines if e.service == PLAIN_SERVICE and e.zone == "n-a"
        )
        draining.state = "draining"
        await platform.send_heartbeat(draining)
        await anyio.sleep(0.5)
        before = len(draining.executed)
        for _ in range(5):
            assert (await platform.send_request("m-4", "/hold/1"))[1].status == 200
        assert len(draining.executed) == before


async def test_a_request_that_may_have_run_is_never_reported_as_not_run() -> None:
    async with platform_deployment() as platform:
        for engine in platform.engines:
            engine.failure = "reset"
        request_id, reply = await platform.send_request("m-4", "/hold/1")
        assert reply.status == 502
        assert sum(engine.executed.count(request_id) for engine in platform.engines) == 1


async def test_a_request_that_no_backend_server_runs_is_refused_with_a_retry_after() -> None:
    async with platform_deployment() as platform:
        for engine in platform.engines:
            engine.failure = "full"
        request_id, reply = await platform.send_request("m-4", "/hold/1")
        assert reply.status == 503 and float(reply.headers["retry-after"]) > 0
        assert not any(request_id in engine.executed for engine in platform.engines)


async def test_a_read_is_retried_on_another_backend_server() -> None:
    async with platform_deployment() as platform:
        failing = next(
            e for e in platform.engines if e.service == PLAIN_SERVICE and e.zone == "n-a"
        )
        failing.failure = "error"
        spare = await platform.add_engine(PLAIN_SERVICE, "n-a")
        await anyio.sleep(0.6)
        for _ in range(4):
            assert (await platform.send_request("m-4", "/read/1"))[1].status == 200
        assert spare.executed


async def test_a_resumable_stream_continues_on_another_server_without_gap_or_repeat() -> None:
    async with platform_deployment() as platform:
        for engine in platform.engines:
            engine.event_count = 6
        breaking = next(
            e for e in platform.engines if e.service == MODEL_SERVICE and e.zone == "n-a"
        )
        breaking.failure = "midway"
        await platform.add_engine(MODEL_SERVICE, "n-a", event_count=6)
        await anyio.sleep(0.6)
        expected = b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, 7))
        with anyio.fail_after(WAIT_TIMEOUT_S):
            while not breaking.executed:
                _, reply = await platform.send_request("m-4", "/plan/1")
                assert (reply.status, reply.body) == (200, expected)


@pytest.mark.parametrize(
    ("path", "service", "failing"),
    [
        ("/plan/1", MODEL_SERVICE, "mute"),
        ("/plan/1", MODEL_SERVICE, "stall"),
        ("/read/1", PLAIN_SERVICE, "mute"),
    ],
)
async def test_a_repeatable_request_moves_from_a_silent_server_to_another(
    path: str, service: str, failing: str
) -> None:
    """A caller aborts a stream after a silence of four times the target latency, 2.4 s.

    Once the first answers of the sound server have been measured, the silent one looks faster.
    """
    async with platform_deployment(engines=False) as platform:
        await platform.send_operator_command("POST", "/v1/config/put", configuration(2))
        silent = await platform.add_engine(service, "n-a", event_count=6)
        silent.failure = failing
        await platform.add_engine(service, "n-a", event_count=6, work_s=SOUND_ANSWER_S)
        await anyio.sleep(0.6)
        with anyio.fail_after(WAIT_TIMEOUT_S):
            while not silent.executed:
                started_at = anyio.current_time()
                request_id, reply = await platform.send_request("m-4", path, deadline_ms=5000)
                assert reply.status == 200
                assert anyio.current_time() - started_at < 2.4
        assert silent.executed == [request_id]
        if service == MODEL_SERVICE:
            assert reply.body == b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, 7))
        assert silent.cancelled == [request_id]


async def test_a_caller_that_reads_slowly_does_not_make_its_server_look_silent() -> None:
    """The caller reads nothing for longer than a server may be silent, while events are sent."""
    loop = asyncio.get_running_loop()
    async with platform_deployment(engines=False) as platform:
        await platform.send_operator_command("POST", "/v1/config/put", configuration(2))
        for _ in range(2):
            await platform.add_engine(
                MODEL_SERVICE, "n-a", event_count=40, event_interval_s=0.0, padding_bytes=256 * 1024
            )
        await anyio.sleep(0.6)
        with socket.socket() as caller:
            caller.setblocking(False)
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 * 1024)
            host, _, port = platform.connect_address("m-4", "front").rpartition(":")
            await loop.sock_connect(caller, (host, int(port)))
            await loop.sock_sendall(
                caller,
                b"POST /plan/1 HTTP/1.1\r\nHost: guide.example\r\nContent-Length: 0\r\n"
                b"X-Figpaddle-Request-Id: slow\r\nX-Figpaddle-Deadline-Ms: 5000\r\n\r\n",
            )
            # Longer than a server may be silent, and shorter than the two seconds after which the
            # stand-in engine itself resets a connection on which nothing is read.
            await anyio.sleep(1.6)
            data = bytearray()
            with anyio.fail_after(WAIT_TIMEOUT_S):
                while not data.endswith(b"\r\n0\r\n\r\n"):
                    chunk = await loop.sock_recv(caller, 1 << 20)
                    assert chunk, "the connection closed before the response was complete"
                    data += chunk
        assert re.findall(rb"id: (\d+)\n", bytes(data)) == [b"%d" % n for n in range(1, 41)]
        assert sum(len(engine.executed) for engine in platform.engines) == 1


async def test_a_server_that_says_it_leaves_gets_no_further_requests_while_it_reports_ready() -> (
    None
):
    async with platform_deployment(engines=False) as platform:
        await platform.send_operator_command("POST", "/v1/config/put", configuration(2))
        leaving = await platform.add_engine(PLAIN_SERVICE, "n-a")
        leaving.failure = "leaving"
        await anyio.sleep(0.6)
        await platform.send_request("m-4", "/read/1", deadline_ms=3000)
        await platform.add_engine(PLAIN_SERVICE, "n-a")
        await anyio.sleep(0.6)
        for _ in range(40):
            _, reply = await platform.send_request("m-4", "/read/1", deadline_ms=3000)
            assert reply.status == 200
        assert len(leaving.executed) == 1


async def test_a_server_that_asks_for_a_pause_gets_no_requests_until_it_ends() -> None:
    async with platform_deployment(engines=False) as platform:
        await platform.send_operator_command("POST", "/v1/config/put", configuration(2))
        busy = await platform.add_engine(PLAIN_SERVICE, "n-a")
        busy.failure = "busy"
        await anyio.sleep(0.6)
        await platform.send_request("m-4", "/read/1", deadline_ms=3000)
        asked_at = anyio.current_time()
        await platform.add_engine(PLAIN_SERVICE, "n-a")
        await anyio.sleep(0.6)
        while anyio.current_time() - asked_at < 1.3:
            _, reply = await platform.send_request("m-4", "/read/1", deadline_ms=3000)
            assert reply.status == 200
        assert len(busy.arrivals) == 1


@pytest.mark.parametrize("failure", ["pause", "slow"])
async def test_a_repeatable_stream_stays_with_a_silent_server_while_no_other_is_free(
    failure: str,
) -> None:
    async with platform_deployment(engines=False) as platform:
        await platform.send_operator_command("POST", "/v1/config/put", configuration(2))
        silent = await platform.add_engine(MODEL_SERVICE, "n-a", event_count=6)
        silent.failure = failure
        await anyio.sleep(0.6)
        request_id, reply = await platform.send_request("m-4", "/plan/1", deadline_ms=6000)
        assert silent.executed == [request_id]
        assert reply.status == 200
        assert reply.body == b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, 7))


async def test_a_stream_whose_events_stop_goes_on_elsewhere_though_bytes_still_come() -> None:
    async with platform_deployment(engines=False) as platform:
        await platform.send_operator_command("POST", "/v1/config/put", configuration(2))
        stalled = await platform.add_engine(MODEL_SERVICE, "n-a", event_count=6)
        stalled.failure = "drip"
        await anyio.sleep(0.6)
        async with anyio.create_task_group() as tasks:
            replies: list[Reply] = []

            async def send() -> None:
                _, reply = await platform.send_request("m-4", "/plan/1", deadline_ms=8000)
                replies.append(reply)

            tasks.start_soon(send)
            with anyio.fail_after(WAIT_TIMEOUT_S):
                while not stalled.executed:
                    await anyio.sleep(0.01)
            other = await platform.add_engine(MODEL_SERVICE, "n-a", event_count=6)
            began_at = anyio.current_time()
        assert anyio.current_time() - began_at < 3.0
        assert replies[0].status == 200
        assert replies[0].body == b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, 7))
        assert len(other.executed) == 1


async def test_an_at_most_once_request_stays_with_a_silent_server() -> None:
    async with platform_deployment(engines=False) as platform:
        await platform.send_operator_command("POST", "/v1/config/put", configuration(2))
        silent = await platform.add_engine(MODEL_SERVICE, "n-a")
        silent.failure = "mute"
        other = await platform.add_engine(MODEL_SERVICE, "n-a")
        await anyio.sleep(0.6)
        with anyio.fail_after(WAIT_TIMEOUT_S):
            while not silent.executed:
                request_id, reply = await platform.send_request("m-4", "/chat/1", deadline_ms=2500)
        assert silent.executed == [request_id] and request_id not in other.executed
        assert reply.status == 504


async def test_a_callers_disconnect_cancels_a_forwarded_request_at_its_backend_server() -> None:
    async with platform_deployment() as platform:
        assert (
            await platform.send_operator_command("POST", "/v1/evacuate/n-a/start")
        ).status == 200
        await anyio.sleep(1.0)
        remote_engine = next(
            e for e in platform.engines if e.service == MODEL_SERVICE and e.zone == "s-a"
        )
        remote_engine.event_count, remote_engine.event_interval_s = 100, 0.05
        caller = await platform.open("m-4")
        await caller.send(
            b"POST /chat/1 HTTP/1.1\r\nHost: guide.example\r\nContent-Length: 0\r\n"
            b"X-Figpaddle-Request-Id: gone\r\nX-Figpaddle-Deadline-Ms: 4000\r\n\r\n"
        )
        with anyio.fail_after(WAIT_TIMEOUT_S):
            while "gone" not in remote_engine.executed:
                await anyio.sleep(0.01)
        caller.close()
        with anyio.fail_after(0.5):
            while "gone" not in remote_engine.cancelled:
                await anyio.sleep(0.01)


async def test_a_stopping_entry_completes_its_requests_and_accepts_no_new_ones() -> None:
    async with platform_deployment() as platform:
        for engine in platform.engines:
            engine.event_count, engine.event_interval_s = 20, 0.1
        async with anyio.create_task_group() as tasks:
            replies = []

            async def long_stream() -> None:
                replies.append((await platform.send_request("m-4", "/chat/1"))[1])

            tasks.start_soon(long_stream)
            await anyio.sleep(0.3)
            platform.signal("m-4", signal.SIGTERM)
            await anyio.sleep(0.2)
            assert not await platform.ready("m-4")
        assert replies[0].status == 200 and replies[0].body.endswith(b"id: 20\ndata: 20\n\n")
        assert await platform.wait_for_exit("m-4") == 0
        lookup_document = json.loads((await platform.lookup("m-5", "north")).body)
        assert lookup_document["addresses"] == [platform.address("m-5", "front")]


async def test_a_request_without_a_response_ends_at_its_deadline() -> None:
    async with platform_deployment() as platform:
        for engine in platform.engines:
            engine.event_count, engine.event_interval_s = 50, 1.0
        started_at = anyio.current_time()
        _, reply = await platform.send_request("m-4", "/chat/1", deadline_ms=800)
        assert anyio.current_time() - started_at < 1.3
        assert reply.status in (0, 504)


async def test_metrics_and_the_state_dump_show_what_a_process_knows() -> None:
    async with platform_deployment() as platform:
        await platform.send_request("m-4", "/chat/1")
        metrics = (await platform.metrics("m-4", "/metrics")).body.decode()
        assert 'figpaddle_requests_total{outcome="stream complete",service="model"} 1' in metrics
        assert "figpaddle_first_byte_seconds" in metrics
        assert "figpaddle_configuration_version 1" in metrics
        assert 'figpaddle_backends_believed{state="serving"} 2' in metrics
        assert 'figpaddle_retry_budget_left{service="model"} ' in metrics
        assert 'figpaddle_backends_oldest_seconds{service="plain"} ' in metrics
        with anyio.fail_after(WAIT_TIMEOUT_S):
            while True:
                state = json.loads((await platform.metrics("m-4", "/state")).body)
                if state["life"] == "serving" and len(state["instances"]) == 5:
                    break
                await anyio.sleep(0.05)
        assert {row["state"] for row in state["backends"]} == {"serving"}


async def test_each_request_can_be_followed_through_the_log() -> None:
    async with platform_deployment() as platform:
        request_id, _ = await platform.send_request("m-4", "/chat/1")
        with anyio.fail_after(WAIT_TIMEOUT_S):
            while "event=request_ended" not in platform.log("m-4"):
                await anyio.sleep(0.05)
        lines = [
            line for line in platform.log("m-4").splitlines() if f"request={request_id}" in line
        ]
        assert [line.split("event=")[1].split()[0] for line in lines] == [
            "request_placed",
            "request_ended",
        ]
        assert "record_age_s=" in lines[0] and "revision=" in lines[0]
        times = [re.search(rf" {name}=([0-9.]+)", lines[1]) for name in ("first_s", "took_s")]
        first_s, took_s = (float(match.group(1)) for match in times if match is not None)
        assert 0 < first_s <= took_s


async def test_an_unusable_data_folder_ends_the_process_with_a_reason() -> None:
    async with platform_deployment(engines=False) as platform:
        platform.block_data_folder("m-9")
        platform.start("m-9", "control", "n-a", first=False)
        assert await platform.wait_for_exit("m-9") == 3
        assert "event=process_not_started" in platform.log("m-9")


async def test_an_error_response_is_passed_on_when_every_attempt_fails() -> None:
    async with platform_deployment() as platform:
        for engine in platform.engines:
            engine.failure = "error"
        _, reply = await platform.send_request("m-4", "/read/1")
        assert reply.status == 500
        assert reply.headers["x-figpaddle-server-seal"] == "e" and reply.body == b"error"


async def test_a_request_that_crashes_its_backend_servers_is_eventually_refused() -> None:
    """Each engine that runs it crashes and restarts under a new name; the caller retries."""
    async with platform_deployment(engines=False) as platform:
        for _ in range(3):
            engine = await platform.add_engine(PLAIN_SERVICE, "n-a", crash_body=b"poison")
            with anyio.fail_after(WAIT_TIMEOUT_S):
                while not engine.executed and not platform.poison_refused:
                    _, reply = await platform.send_request("m-4", "/hold/1", body=b"poison")
                    refusals = "request_quarantined" in platform.log("m-4")
                    platform.poison_refused = refusals and reply.status == 503
                    await anyio.sleep(0.2)
        assert sum(len(engine.executed) for engine in platform.engines) == 2
        survivor = platform.engines[-1]
        assert (await platform.send_request("m-4", "/hold/1", body=b"harmless"))[1].status == 200
        assert len(survivor.executed) == 1


async def test_changes_raise_the_ballot_by_little_so_that_a_recovery_stays_far_above() -> None:
    """A voter that lost its disk is safe only with a ballot above all that it had promised."""
    async with platform_deployment(engines=False) as platform:
        for version in range(2, 6):
            reply = await platform.send_operator_command(
                "POST", "/v1/config/put", configuration(version)
            )
            assert reply.status == 200
        logs = "".join(platform.log(name) for name in ("m-1", "m-2", "m-3"))
        ballots = [int(number) for number in re.findall(r"event=round_won .*?ballot=(\d+)", logs)]
        assert ballots and max(ballots) < RECOVERY_BALLOT_DISTANCE / 1000


async def test_a_caller_can_not_set_the_headers_of_a_forwarded_request() -> None:
    async with platform_deployment() as platform:
        assert (
            await platform.send_operator_command("POST", "/v1/evacuate/n-a/start")
        ).status == 200
        await anyio.sleep(1.0)
        forged_headers = ((b"Figpaddle-Terms", b"00"), (b"Connection", b"keep-alive, X-Private"))
        request_id, reply = await platform.send_request(
            "m-4", "/hold/1", extra_headers=forged_headers
        )
        assert reply.status == 200
        remote_engine = next(
            e for e in platform.engines if e.service == PLAIN_SERVICE and e.zone == "s-a"
        )
        assert not {"figpaddle-terms", "x-private"} & set(remote_engine.request_headers[request_id])


async def test_a_restarted_entry_serves_while_no_control_instance_runs() -> None:
    """A power loss stops all control instances and an entry; the other entries know the engines."""
    async with platform_deployment() as platform:
        for name in ("m-1", "m-2", "m-3", "m-4"):
            platform.signal(name, signal.SIGKILL)
        await platform.restart("m-4")
        with anyio.fail_after(WAIT_TIMEOUT_S):
            # The data of this route may not leave the region, so no other region can serve it.
            while (await platform.send_request("m-4", "/home/1"))[1].status != 200:
                await anyio.sleep(0.1)


async def test_a_reload_signal_during_startup_does_not_end_the_process() -> None:
    async with platform_deployment(engines=False) as platform:
        platform.signal("m-4", signal.SIGKILL)
        await platform.restart("m-4")
        with anyio.fail_after(WAIT_TIMEOUT_S):
            while "pydantic_core" not in platform.mapped_files("m-4"):
                await anyio.sleep(0.005)
            assert platform.handles_sighup("m-4")
            while not await platform.ready("m-4"):
                platform.signal("m-4", signal.SIGHUP)
                await anyio.sleep(0.05)
