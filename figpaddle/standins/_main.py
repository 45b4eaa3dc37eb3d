"""Runs one stand-in backend server as a process of its own."""

from __future__ import annotations

import signal
from collections.abc import Callable
from typing import Annotated, Any

import anyio
import typer
from hypercorn.asyncio import serve
from hypercorn.config import Config

from figpaddle.daemon._sockets import Listener, hand_over, listen
from figpaddle.standins._announcer import Announcer
from figpaddle.standins._engine import Engine
from figpaddle.standins._records import RecordsService
from figpaddle.wire import BackendInfo, BackendState

#: Shortest time for which a leaving stand-in goes on serving, seconds.
LEAVE_S = 1.0
#: Longest time for which it finishes what it runs, seconds.
MAX_LEAVE_S = 60.0
#: Interval at which it looks whether it still runs anything, seconds.
LEAVE_POLL_S = 0.1

app = typer.Typer(add_completion=False, no_args_is_help=True)

NameOption = Annotated[str, typer.Option(help="Name of the backend server.")]
ServiceOption = Annotated[
    list[str], typer.Option(help="Service that it runs, member/service; repeat for more.")
]
RegionOption = Annotated[str, typer.Option(help="Region it stands in.")]
AnnounceOption = Annotated[list[str], typer.Option(help="Backends' port of an instance.")]
ListenOption = Annotated[str, typer.Option(help="Address to listen on.")]
AdvertiseOption = Annotated[str | None, typer.Option(help="Address to announce, if another.")]


@app.command()
def engine(
    name: NameOption,
    service: ServiceOption,
    region: RegionOption,
    announce: AnnounceOption,
    listen_on: ListenOption = "127.0.0.1:0",
    advertise: AdvertiseOption = None,
    slots: Annotated[int, typer.Option(help="Requests in one batch.")] = 8,
    prefill: Annotated[float, typer.Option(help="Prompt tokens a second.")] = 20000.0,
    decode_ms: Annotated[float, typer.Option(help="Time for a token, milliseconds.")] = 5.0,
    cache_blocks: Annotated[int, typer.Option(help="Blocks in the prefix cache.")] = 4096,
    crash_on: Annotated[str | None, typer.Option(help="Text that ends the process.")] = None,
) -> None:
    """Run an engine that streams tokens."""
    application = Engine(
        name=name,
        slots=slots,
        prefill_tokens_per_s=prefill,
        decode_s=decode_ms / 1000,
        cache_blocks=cache_blocks,
        crash_on=crash_on,
    )
    _run(application, name, service, region, announce, listen_on, advertise, slots)


@app.command()
def records(
    name: NameOption,
    service: ServiceOption,
    region: RegionOption,
    announce: AnnounceOption,
    listen_on: ListenOption = "127.0.0.1:0",
    advertise: AdvertiseOption = None,
) -> None:
    """Run an application service whose calls may not be repeated."""
    _run(RecordsService(name=name), name, service, region, announce, listen_on, advertise, 16)


def _run(
    application: Engine | RecordsService,
    name: str,
    services: list[str],
    region: str,
    targets: list[str],
    address: str,
    advertise: str | None,
    slots: int,
) -> None:
    listener = listen(address)
    info = BackendInfo(
        name=name,
        address=advertise or listener.address,
        region=region,
        zone=f"{region}-a",
        services=tuple(services),
        incarnation=0,
        sequence=0,
        slots=slots,
    )
    announcer = Announcer(
        info=info,
        targets=tuple(targets),
        load=application.load,
        cache_events=application.take_cache_events if isinstance(application, Engine) else tuple,
    )
    print(f"event=ready name={name} address={listener.address}", flush=True)
    anyio.run(_serve, application, listener, announcer, application.load)


async def _serve(
    application: Any,
    listener: Listener,
    announcer: Announcer,
    load: Callable[[], tuple[int, int]],
) -> None:
    config = Config()
    config.bind = [hand_over(listener)]
    config.accesslog = None
    config.errorlog = None
    leaving = anyio.Event()
    stop = anyio.Event()

    async def leave_on_signal() -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                leaving.set()
                await announcer.announce(BackendState.LEAVING)
                await anyio.sleep(LEAVE_S)
                with anyio.move_on_after(MAX_LEAVE_S):
                    while any(load()):
                        await anyio.sleep(LEAVE_POLL_S)
                stop.set()
                return

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(announcer.run, leaving)
        tasks.start_soon(leave_on_signal)
        await serve(application, config, shutdown_trigger=stop.wait)


def main() -> None:
    """Entry point of ``python -m figpaddle.standins``."""
    app()
