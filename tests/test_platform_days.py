"""The programs serve the stand-in platform: calm, and with each kind of trouble once."""

from __future__ import annotations

import asyncio
import json
import re
import signal
import socket

import anyio
import pytest

from figpaddle.coordination import RECOVERY_JUMP
from tests.platform_standin import MODEL, PATIENCE_S, PLAIN, configuration, deployment

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def test_a_calm_day_is_served_whole() -> None:
    async with deployment() as day:
        for entry in ("m-4", "m-5", "m-6"):
            for path in ("/chat/1", "/plan/1", "/hold/1", "/read/1"):
                request_id, reply = await day.ask(entry, path)
                assert reply.status == 200, (entry, path, day.log(entry)[-2000:])
                assert reply.headers["x-figpaddle-server-seal"] == f"seal-{request_id}"
                runs = [one for engine in day.engines for one in engine.ran if one == request_id]
                assert len(runs) == 1
        _, stream = await day.ask("m-4", "/chat/1")
        assert stream.body == b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in (1, 2, 3))
        assert (await day.ask("m-4", "/nowhere/1"))[1].status == 404
        lookup = json.loads((await day.lookup("m-6", "north")).body)
        assert set(lookup["addresses"]) == {day.address(name, "front") for name in ("m-4", "m-5")}


async def test_backend_servers_get_what_is_left_and_the_callers_id() -> None:
    async with deployment() as day:
        request_id, _ = await day.ask("m-4", "/hold/1", deadline_ms=1500)
        fields = next(engine.fields[request_id] for engine in day.engines if engine.ran)
        assert 1000 < int(fields["x-figpaddle-deadline-ms"]) <= 1500
        assert fields["x-figpaddle-request-id"] == request_id


async def test_the_configuration_is_read_back_and_never_changes_under_one_version() -> None:
    async with deployment(engines=False) as day:
        changed = configuration(5)
        assert (await day.order("POST", "/v1/config/put", changed)).status == 200
        assert (
            await day.order("POST", "/v1/config/put", configuration(5, limits={}))
        ).status == 200
        other = configuration(5)
        other["routes"] = other["routes"][:1]
        assert (await day.call("m-3", "POST", "/v1/config/put", other)).status == 200
        assert (await day.order("POST", "/v1/config/put", configuration(4))).status == 200
        for name in ("m-1", "m-2", "m-3"):
            reply = await day.call(name, "GET", "/v1/config/get")
            assert (reply.status, json.loads(reply.body)) == (200, changed)
        invalid = configuration(6)
        invalid["routes"][0]["service"] = "unknown"
        assert (await day.call("m-2", "POST", "/v1/config/put", invalid)).status == 400


async def test_acknowledged_state_survives_the_death_of_all_control_instances() -> None:
    async with deployment(engines=False) as day:
        assert (await day.order("POST", "/v1/config/put", configuration(7))).status == 200
        for name in ("m-1", "m-2", "m-3"):
            day.signal(name, signal.SIGKILL)
        for name in ("m-1", "m-2", "m-3"):
            await day.restart(name)
        reply = await day.order("GET", "/v1/config/get")
        assert json.loads(reply.body)["version"] == 7


async def test_a_control_instance_that_lost_its_disk_votes_again_with_what_the_others_hold() -> (
    None
):
    async with deployment(engines=False) as day:
        assert (await day.order("POST", "/v1/config/put", configuration(7))).status == 200
        day.signal("m-1", signal.SIGKILL)
        await day.restart("m-1", wiped=True)
        with anyio.fail_after(PATIENCE_S):
            while "voter_recovered" not in day.log("m-1"):
                await anyio.sleep(0.1)
        day.signal("m-2", signal.SIGKILL)
        await day.stopped("m-2")
        reply = await day.order("GET", "/v1/config/get")
        assert json.loads(reply.body)["version"] == 7
        assert (await day.order("POST", "/v1/config/put", configuration(8))).status == 200


async def test_without_a_majority_nothing_is_acknowledged_or_read() -> None:
    async with deployment(engines=False) as day:
        for name in ("m-2", "m-3"):
            day.signal(name, signal.SIGKILL)
            await day.stopped(name)
        assert (await day.call("m-1", "POST", "/v1/config/put", configuration(9))).status == 503
        assert (await day.call("m-1", "GET", "/v1/config/get")).status == 503


async def test_an_evacuated_zone_gets_nothing_and_other_regions_serve_its_callers() -> None:
    async with deployment() as day:
        assert (await day.order("POST", "/v1/evacuate/n-a/start")).status == 200
        await anyio.sleep(1.0)
        before = {engine.name: len(engine.ran) for engine in day.engines}
        for _ in range(4):
            assert (await day.ask("m-4", "/chat/1"))[1].status == 200
        north = [engine for engine in day.engines if engine.zone == "n-a"]
        assert all(len(engine.ran) == before[engine.name] for engine in north)
        refused = (await day.ask("m-4", "/home/1"))[1]
        assert refused.status == 503 and float(refused.headers["retry-after"]) > 0
        assert (await day.order("POST", "/v1/evacuate/n-a/end")).status == 200
        await anyio.sleep(1.0)
        assert (await day.ask("m-4", "/home/1"))[1].status == 200


async def test_a_draining_backend_server_gets_nothing_new() -> None:
    async with deployment() as day:
        leaving = next(e for e in day.engines if e.service == PLAIN and e.zone == "n-a")
        leaving.state = "draining"
        await day.beat(leaving)
        await anyio.sleep(0.5)
        before = len(leaving.ran)
        for _ in range(5):
            assert (await day.ask("m-4", "/hold/1"))[1].status == 200
        assert len(leaving.ran) == before


async def test_a_request_that_may_have_run_is_never_called_not_run() -> None:
    async with deployment() as day:
        for engine in day.engines:
            engine.failing = "reset"
        request_id, reply = await day.ask("m-4", "/hold/1")
        assert reply.status == 502
        assert sum(engine.ran.count(request_id) for engine in day.engines) == 1


async def test_a_request_that_no_backend_server_runs_is_refused_with_a_time_to_return() -> None:
    async with deployment() as day:
        for engine in day.engines:
            engine.failing = "full"
        request_id, reply = await day.ask("m-4", "/hold/1")
        assert reply.status == 503 and float(reply.headers["retry-after"]) > 0
        assert not any(request_id in engine.ran for engine in day.engines)


async def test_a_read_goes_to_another_backend_server_when_one_fails() -> None:
    async with deployment() as day:
        failing = next(e for e in day.engines if e.service == PLAIN and e.zone == "n-a")
        failing.failing = "error"
        spare = await day.add_engine(PLAIN, "n-a")
        await anyio.sleep(0.6)
        for _ in range(4):
            assert (await day.ask("m-4", "/read/1"))[1].status == 200
        assert spare.ran


async def test_a_resumable_stream_goes_on_elsewhere_without_gap_or_repeat() -> None:
    async with deployment() as day:
        for engine in day.engines:
            engine.events = 6
        breaking = next(e for e in day.engines if e.service == MODEL and e.zone == "n-a")
        breaking.failing = "midway"
        await day.add_engine(MODEL, "n-a", events=6)
        await anyio.sleep(0.6)
        whole = b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, 7))
        with anyio.fail_after(PATIENCE_S):
            while not breaking.ran:
                _, reply = await day.ask("m-4", "/plan/1")
                assert (reply.status, reply.body) == (200, whole)


@pytest.mark.parametrize(
    ("path", "service", "failing"),
    [("/plan/1", MODEL, "mute"), ("/plan/1", MODEL, "stall"), ("/read/1", PLAIN, "mute")],
)
async def test_a_request_that_may_run_twice_leaves_a_silent_server(
    path: str, service: str, failing: str
) -> None:
    """Callers give a stream up after a silence of four times the target, 2.4 s."""
    async with deployment(engines=False) as day:
        await day.order("POST", "/v1/config/put", configuration(2))
        silent = await day.add_engine(service, "n-a", events=6)
        silent.failing = failing
        await day.add_engine(service, "n-a", events=6)
        await anyio.sleep(0.6)
        with anyio.fail_after(PATIENCE_S):
            while not silent.ran:
                begun_at = anyio.current_time()
                request_id, reply = await day.ask("m-4", path, deadline_ms=5000)
                assert reply.status == 200
                assert anyio.current_time() - begun_at < 2.4
        assert silent.ran == [request_id]
        if service == MODEL:
            assert reply.body == b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, 7))
        assert silent.left == [request_id]


async def test_a_caller_that_reads_slowly_does_not_make_its_server_look_silent() -> None:
    """The caller takes nothing for longer than a server may keep silent, with events on the way."""
    loop = asyncio.get_running_loop()
    async with deployment(engines=False) as day:
        await day.order("POST", "/v1/config/put", configuration(2))
        for _ in range(2):
            await day.add_engine(MODEL, "n-a", events=40, gap_s=0.0, padding=256 * 1024)
        await anyio.sleep(0.6)
        with socket.socket() as caller:
            caller.setblocking(False)
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 * 1024)
            host, _, port = day.reach("m-4", "front").rpartition(":")
            await loop.sock_connect(caller, (host, int(port)))
            await loop.sock_sendall(
                caller,
                b"POST /plan/1 HTTP/1.1\r\nHost: guide.example\r\nContent-Length: 0\r\n"
                b"X-Figpaddle-Request-Id: slow\r\nX-Figpaddle-Deadline-Ms: 5000\r\n\r\n",
            )
            # Longer than a server may keep silent, shorter than the two seconds after which the
            # stand-in engine itself resets a connection that takes nothing.
            await anyio.sleep(1.6)
            data = bytearray()
            with anyio.fail_after(PATIENCE_S):
                while not data.endswith(b"\r\n0\r\n\r\n"):
                    piece = await loop.sock_recv(caller, 1 << 20)
                    assert piece, "the answer broke off"
                    data += piece
        assert re.findall(rb"id: (\d+)\n", bytes(data)) == [b"%d" % n for n in range(1, 41)]
        assert sum(len(engine.ran) for engine in day.engines) == 1


async def test_a_request_that_may_run_once_only_stays_with_a_silent_server() -> None:
    async with deployment(engines=False) as day:
        await day.order("POST", "/v1/config/put", configuration(2))
        silent = await day.add_engine(MODEL, "n-a")
        silent.failing = "mute"
        other = await day.add_engine(MODEL, "n-a")
        await anyio.sleep(0.6)
        with anyio.fail_after(PATIENCE_S):
            while not silent.ran:
                request_id, reply = await day.ask("m-4", "/chat/1", deadline_ms=2500)
        assert silent.ran == [request_id] and request_id not in other.ran
        assert reply.status == 504


async def test_a_callers_leaving_reaches_the_backend_server_over_a_hop() -> None:
    async with deployment() as day:
        assert (await day.order("POST", "/v1/evacuate/n-a/start")).status == 200
        await anyio.sleep(1.0)
        far = next(e for e in day.engines if e.service == MODEL and e.zone == "s-a")
        far.events, far.gap_s = 100, 0.05
        caller = await day.open("m-4")
        await caller.send(
            b"POST /chat/1 HTTP/1.1\r\nHost: guide.example\r\nContent-Length: 0\r\n"
            b"X-Figpaddle-Request-Id: gone\r\nX-Figpaddle-Deadline-Ms: 4000\r\n\r\n"
        )
        with anyio.fail_after(PATIENCE_S):
            while "gone" not in far.ran:
                await anyio.sleep(0.01)
        caller.close()
        with anyio.fail_after(0.5):
            while "gone" not in far.left:
                await anyio.sleep(0.01)


async def test_an_entry_that_is_told_to_stop_ends_what_it_began_and_takes_nothing_new() -> None:
    async with deployment() as day:
        for engine in day.engines:
            engine.events, engine.gap_s = 20, 0.1
        async with anyio.create_task_group() as tasks:
            replies = []

            async def long_stream() -> None:
                replies.append((await day.ask("m-4", "/chat/1"))[1])

            tasks.start_soon(long_stream)
            await anyio.sleep(0.3)
            day.signal("m-4", signal.SIGTERM)
            await anyio.sleep(0.2)
            assert not await day.ready("m-4")
        assert replies[0].status == 200 and replies[0].body.endswith(b"id: 20\ndata: 20\n\n")
        assert await day.stopped("m-4") == 0
        lookup = json.loads((await day.lookup("m-5", "north")).body)
        assert lookup["addresses"] == [day.address("m-5", "front")]


async def test_a_request_without_an_answer_ends_at_its_routes_timeout() -> None:
    async with deployment() as day:
        for engine in day.engines:
            engine.events, engine.gap_s = 50, 1.0
        began_at = anyio.current_time()
        _, reply = await day.ask("m-4", "/chat/1", deadline_ms=800)
        assert anyio.current_time() - began_at < 1.3
        assert reply.status in (0, 504)


async def test_metrics_and_the_state_dump_tell_what_a_process_knows() -> None:
    async with deployment() as day:
        await day.ask("m-4", "/chat/1")
        page = (await day.metrics("m-4", "/metrics")).body.decode()
        assert 'figpaddle_requests_total{outcome="stream complete",service="model"} 1' in page
        assert "figpaddle_first_byte_seconds" in page
        assert "figpaddle_configuration_version 1" in page
        assert 'figpaddle_backends_believed{state="serving"} 2' in page
        assert 'figpaddle_retry_budget_left{service="model"} ' in page
        assert 'figpaddle_backends_oldest_seconds{service="plain"} ' in page
        with anyio.fail_after(PATIENCE_S):
            while True:
                state = json.loads((await day.metrics("m-4", "/state")).body)
                if state["life"] == "serving" and len(state["instances"]) == 5:
                    break
                await anyio.sleep(0.05)
        assert {one["state"] for one in state["backends"]} == {"serving"}


async def test_each_request_can_be_followed_through_the_log() -> None:
    async with deployment() as day:
        request_id, _ = await day.ask("m-4", "/chat/1")
        with anyio.fail_after(PATIENCE_S):
            while "event=request_ended" not in day.log("m-4"):
                await anyio.sleep(0.05)
        lines = [line for line in day.log("m-4").splitlines() if f"request={request_id}" in line]
        assert [line.split("event=")[1].split()[0] for line in lines] == [
            "request_placed",
            "request_ended",
        ]
        assert "record_age_s=" in lines[0] and "revision=" in lines[0]
        times = [re.search(rf" {name}=([0-9.]+)", lines[1]) for name in ("first_s", "took_s")]
        first_s, took_s = (float(one.group(1)) for one in times if one is not None)
        assert 0 < first_s <= took_s


async def test_a_data_folder_that_can_not_be_used_ends_the_process_with_a_reason() -> None:
    async with deployment(engines=False) as day:
        day.spoil_folder("m-9")
        day.start("m-9", "control", "n-a", first=False)
        assert await day.stopped("m-9") == 3
        assert "event=process_not_started" in day.log("m-9")


async def test_a_backend_servers_own_failure_is_passed_on_when_nothing_better_comes() -> None:
    async with deployment() as day:
        for engine in day.engines:
            engine.failing = "error"
        _, reply = await day.ask("m-4", "/read/1")
        assert reply.status == 500
        assert reply.headers["x-figpaddle-server-seal"] == "e" and reply.body == b"error"


async def test_a_request_that_crashes_its_backend_servers_is_refused_in_the_end() -> None:
    """Each engine that runs it dies and starts again under a new name; its caller repeats it."""
    async with deployment(engines=False) as day:
        for _ in range(4):
            engine = await day.add_engine(PLAIN, "n-a", crashing=b"poison")
            with anyio.fail_after(PATIENCE_S):
                while not engine.ran and not day.refused:
                    _, reply = await day.ask("m-4", "/hold/1", body=b"poison")
                    refusals = "request_quarantined" in day.log("m-4")
                    day.refused = refusals and reply.status == 503
                    await anyio.sleep(0.2)
        assert sum(len(engine.ran) for engine in day.engines) == 3
        survivor = day.engines[-1]
        assert (await day.ask("m-4", "/hold/1", body=b"harmless"))[1].status == 200
        assert len(survivor.ran) == 1


async def test_changes_raise_the_ballot_by_little_so_that_a_recovery_stays_far_above() -> None:
    """A wiped voter is safe only if it recovers above all that its lost disk may have promised."""
    async with deployment(engines=False) as day:
        for version in range(2, 6):
            reply = await day.order("POST", "/v1/config/put", configuration(version))
            assert reply.status == 200
        logs = "".join(day.log(name) for name in ("m-1", "m-2", "m-3"))
        ballots = [int(number) for number in re.findall(r"event=round_won .*?ballot=(\d+)", logs)]
        assert ballots and max(ballots) < RECOVERY_JUMP / 1000


async def test_a_caller_can_not_set_the_terms_of_a_hop() -> None:
    async with deployment() as day:
        assert (await day.order("POST", "/v1/evacuate/n-a/start")).status == 200
        await anyio.sleep(1.0)
        forged = ((b"Figpaddle-Terms", b"00"), (b"Connection", b"keep-alive, X-Private"))
        request_id, reply = await day.ask("m-4", "/hold/1", more=forged)
        assert reply.status == 200
        far = next(e for e in day.engines if e.service == PLAIN and e.zone == "s-a")
        assert not {"figpaddle-terms", "x-private"} & set(far.fields[request_id])


async def test_an_entry_that_starts_again_serves_while_no_control_instance_runs() -> None:
    """A power loss takes control and an entry together; the other entries know the engines."""
    async with deployment() as day:
        for name in ("m-1", "m-2", "m-3", "m-4"):
            day.signal(name, signal.SIGKILL)
        await day.restart("m-4")
        with anyio.fail_after(PATIENCE_S):
            # Its data may not leave the region, so that no other region can serve it.
            while (await day.ask("m-4", "/home/1"))[1].status != 200:
                await anyio.sleep(0.1)


async def test_a_reload_asked_for_while_a_process_starts_does_not_end_it() -> None:
    async with deployment(engines=False) as day:
        day.signal("m-4", signal.SIGKILL)
        await day.restart("m-4")
        with anyio.fail_after(PATIENCE_S):
            while "pydantic_core" not in day.modules("m-4"):
                await anyio.sleep(0.005)
            assert day.holds_off_reloads("m-4")
            while not await day.ready("m-4"):
                day.signal("m-4", signal.SIGHUP)
                await anyio.sleep(0.05)
