"""The command line that runs one stand-in backend server as a process."""

from __future__ import annotations

import signal
from collections.abc import Callable
from typing import Annotated, Any

import anyio
import typer
from hypercorn.asyncio import serve
from hypercorn.config import Config

from figpaddle.daemon._sockets import Listener, detach_to_fd_address, listen
from figpaddle.standins._announcer import Announcer
from figpaddle.standins._engine import Engine
from figpaddle.standins._records import RecordsService
from figpaddle.wire import BackendInfo, BackendState

#: Shortest time for which a stopping stand-in continues to serve.
MIN_DRAIN_S = 1.0
#: Timeout for in-flight requests of a stopping stand-in.
DRAIN_TIMEOUT_S = 60.0
#: Interval at which a stopping stand-in checks for in-flight requests.
DRAIN_POLL_INTERVAL_S = 0.1

app = typer.Typer(add_completion=False, no_args_is_help=True)

NameOption = Annotated[str, typer.Option(help="Name of the backend server.")]
ServiceOption = Annotated[
    list[str], typer.Option(help="Service that it runs, member/service; may be repeated.")
]
RegionOption = Annotated[str, typer.Option(help="Region of the backend server.")]
AnnounceOption = Annotated[
    list[str], typer.Option(help="Address of an instance's backend port; may be repeated.")
]
ListenOption = Annotated[str, typer.Option(help="Address to listen on.")]
AdvertiseOption = Annotated[str | None, typer.Option(help="Address to announce, if different.")]


@app.command()
def engine(
    name: NameOption,
    service: ServiceOption,
    region: RegionOption,
    announce: AnnounceOption,
    listen_on: ListenOption = "127.0.0.1:0",
    advertise: AdvertiseOption = None,
    slots: Annotated[int, typer.Option(help="Largest number of requests in a batch.")] = 8,
    prefill: Annotated[
        float, typer.Option(help="Prefill speed, prompt tokens per second.")
    ] = 20000.0,
    decode_ms: Annotated[float, typer.Option(help="Decode time of a token, milliseconds.")] = 5.0,
    cache_blocks: Annotated[int, typer.Option(help="Size of the prefix cache, blocks.")] = 4096,
    crash_on: Annotated[
        str | None, typer.Option(help="Text in a prompt at which the process crashes.")
    ] = None,
) -> None:
    """Run a stand-in engine that streams tokens."""
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
    """Run a stand-in application service with non-idempotent requests."""
    _run(RecordsService(name=name), name, service, region, announce, listen_on, advertise, 16)


def _run(
    application: Engine | RecordsService,
    name: str,
    services: list[str],
    region: str,
    instance_addresses: list[str],
    listen_address: str,
    advertise: str | None,
    slots: int,
) -> None:
    listener = listen(listen_address)
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
        addresses=tuple(instance_addresses),
        load=application.load,
        cache_events=application.pop_cache_events if isinstance(application, Engine) else tuple,
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
    config.bind = [detach_to_fd_address(listener)]
    config.accesslog = None
    config.errorlog = None
    draining = anyio.Event()
    stop = anyio.Event()

    async def drain_on_signal() -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                draining.set()
                await announcer.announce(BackendState.LEAVING)
                await anyio.sleep(MIN_DRAIN_S)
                with anyio.move_on_after(DRAIN_TIMEOUT_S):
                    while any(load()):
                        await anyio.sleep(DRAIN_POLL_INTERVAL_S)
                stop.set()
                return

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(announcer.run, draining)
        tasks.start_soon(drain_on_signal)
        await serve(application, config, shutdown_trigger=stop.wait)


def main() -> None:
    """Entry point of ``python -m figpaddle.standins``."""
    app()
