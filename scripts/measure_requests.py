"""Measures the cost of the ledger of non-idempotent requests; prints ``name=value`` lines."""

from __future__ import annotations

import pathlib
import sys
import tempfile
import time
import tracemalloc
from collections.abc import Callable

import anyio
import httpx
from hdrh.histogram import HdrHistogram

from figpaddle.daemon._group_commit import GroupCommit
from figpaddle.daemon._ledger_storage import FileLedgerStorage
from figpaddle.ledger import Holder, HolderSettings, RecoverySource
from figpaddle.wire import (
    LedgerBegin,
    LedgerFinish,
    LedgerPage,
    LedgerRecord,
    LedgerRecover,
    RecordedAnswer,
    RecordKey,
)
from tests.calls import state_dump, wait_for_ledger, wait_until
from tests.conftest import HANBIT_KEY, write_examples
from tests.harness import Deployment

SLOTS = ("seoul-1", "seoul-2", "seoul-3")
SERVICE = "intake-records"
ANSWER_BYTES = 200
COMMIT_RECORDS = 2000
COMMIT_WRITERS = 64
SEQUENTIAL_RECORDS = 300
PAIRED_CALLS = 400
KEY_COUNTS = (1000, 10_000, 100_000)
RETENTION_S = 24 * 3600.0


def main() -> None:
    """Run every measurement and print its figures."""
    with tempfile.TemporaryDirectory() as folder:
        root = pathlib.Path(folder)
        measure_commits(root / "commits")
        for keys in KEY_COUNTS:
            measure_size(root / f"keys-{keys}", keys)
        measure_requests(root / "requests")


def print_figure(name: str, value: float) -> None:
    """Print one figure."""
    print(f"{name}={value:.4g}", flush=True)


def new_holder(slot: str, *, voting_from: float | None = 0.5) -> Holder:
    """Return a holder that votes, or an empty one that has to recover if ``voting_from`` is None."""
    settings = HolderSettings(
        slot=slot, slots=SLOTS, retention_s=RETENTION_S, voting_from=voting_from
    )
    holder = Holder(settings=settings, incarnation=1, started_at=0.0)
    holder.poll(now=1.0)
    return holder


def make_begin(number: int) -> LedgerBegin:
    """Return the message that begins a new attempt."""
    return LedgerBegin(
        key=RecordKey(member="hanbit", client="desk", key=f"filing-{number:08d}"),
        service=SERVICE,
        digest=number.to_bytes(32, "big"),
        attempt=f"{number:032x}",
        votes=(),
        slots=SLOTS,
    )


def make_finish(begin_message: LedgerBegin) -> LedgerFinish:
    """Return the message that finishes an attempt with a typical response."""
    response = RecordedAnswer(
        status=201,
        headers=(("content-type", "application/json"), ("content-length", str(ANSWER_BYTES))),
        body=b"x" * ANSWER_BYTES,
        backend="records-1",
        instance="seoul-1",
        region="seoul",
    )
    record = LedgerRecord(
        key=begin_message.key,
        digest=begin_message.digest,
        attempt=begin_message.attempt,
        begun_at=1.0,
        finished=True,
        answer=response,
    )
    return LedgerFinish(record=record, service=SERVICE)


def measure_commits(folder: pathlib.Path) -> None:
    """Compare group commit with one fsync for each record."""
    individual = anyio.run(commit_rate, folder / "single", 1, SEQUENTIAL_RECORDS)
    grouped = anyio.run(commit_rate, folder / "group", COMMIT_WRITERS, COMMIT_RECORDS)
    print_figure("records_per_s_one_fsync_each", individual)
    print_figure(f"records_per_s_group_commit_{COMMIT_WRITERS}_writers", grouped)
    print_figure("group_commit_gain", grouped / individual)


async def commit_rate(folder: pathlib.Path, writers: int, records: int) -> float:
    """Return the durable records per second of ``writers`` concurrent writers."""
    storage = FileLedgerStorage(folder=folder, slot=SLOTS[0], slots=SLOTS)
    storage.read()
    holder = new_holder(SLOTS[0])
    commits = GroupCommit(storage=storage, snapshot=lambda: holder.snapshot(now=1.0))

    async def write(first: int) -> None:
        for number in range(first, records, writers):
            commits.append(holder.handle(make_begin(number), now=1.0).store)
            await commits.commit()

    started_at = time.perf_counter()
    async with anyio.create_task_group() as tasks:
        for first in range(writers):
            tasks.start_soon(write, first)
    return records / (time.perf_counter() - started_at)


def measure_size(folder: pathlib.Path, keys: int) -> None:
    """Print the memory, the file size and the recovery times of ``keys`` finished records."""
    storage = FileLedgerStorage(folder=folder, slot=SLOTS[0], slots=SLOTS)
    storage.read()
    tracemalloc.start()
    holder = new_holder(SLOTS[0])
    for number in range(keys):
        begin_message = make_begin(number)
        holder.handle(begin_message, now=1.0)
        holder.handle(make_finish(begin_message), now=1.0)
    print_figure(f"memory_bytes_per_key_{keys}", tracemalloc.get_traced_memory()[0] / keys)
    tracemalloc.stop()
    storage.replace(holder.snapshot(now=1.0))
    print_figure(f"file_bytes_per_key_{keys}", storage.size_bytes / keys)
    print_figure(f"restart_from_file_s_{keys}", duration_of(lambda: load_file(folder)))
    print_figure(
        f"recover_from_two_slots_s_{keys}", duration_of(lambda: recover(folder, (holder, holder)))
    )


def duration_of(function: Callable[[], object]) -> float:
    """Return the duration of a call of ``function``, seconds."""
    started_at = time.perf_counter()
    function()
    return time.perf_counter() - started_at


def load_file(folder: pathlib.Path) -> Holder:
    """Return the holder that a restarted process loads from its file."""
    holder = new_holder(SLOTS[0], voting_from=None)
    holder.load(FileLedgerStorage(folder=folder, slot=SLOTS[0], slots=SLOTS).read())
    return holder


def recover(folder: pathlib.Path, others: tuple[Holder, ...]) -> None:
    """Recover a slot from the records of two others, without a network, and store them."""
    recovering_holder = new_holder(SLOTS[2], voting_from=None)
    sources = []
    for holder, slot in zip(others, SLOTS, strict=False):
        records: list[LedgerRecord] = []
        offset: int | None = 0
        while offset is not None:
            recover_message = LedgerRecover(slot=SLOTS[2], incarnation=5, offset=offset)
            page = holder.handle(recover_message, now=1.0).reply
            if not isinstance(page, LedgerPage):
                sys.exit("the reply is not a page of ledger records")
            records.extend(page.records)
            offset = page.next_offset
        sources.append(RecoverySource(slot=slot, records=tuple(records), known=()))
    storage = FileLedgerStorage(folder=folder / "recovered", slot=SLOTS[2], slots=SLOTS)
    storage.read()
    storage.write(recovering_holder.recover_from(tuple(sources)).store)


def measure_requests(folder: pathlib.Path) -> None:
    """Compare requests with and without a ledger record, with real processes."""
    folder.mkdir()
    with Deployment(folder) as deployment:
        write_examples(deployment)
        deployment.ledger_holders = {"seoul": list(SLOTS)}
        for name in SLOTS:
            deployment.start_instance(name, "seoul", data_folder=str(folder / name))
        deployment.start_backend("seoul-records", "records", "seoul", (SERVICE,))
        wait_for_ledger(*deployment.instances.values())
        for instance in deployment.instances.values():
            wait_until(
                lambda process=instance: len(state_dump(process)["membership"]["links"]) == 2,
                description="links",
            )
        compare_calls(deployment.instances["seoul-2"].ready_fields["callers"])


def compare_calls(entry: str) -> None:
    """Print the latency of reads, which need no record, and of filings, sent alternately."""
    times = {"GET": HdrHistogram(1, 60_000_000, 3), "POST": HdrHistogram(1, 60_000_000, 3)}
    url = f"http://{entry}/services/{SERVICE}/filings"
    headers = {"authorization": f"Bearer {HANBIT_KEY}"}
    with httpx.Client(trust_env=False, timeout=20.0, headers=headers) as client:
        for number in range(PAIRED_CALLS):
            for method, histogram in times.items():
                key_header = {"idempotency-key": f"measured-{number}"}
                started_at = time.perf_counter()
                response = client.request(method, url, headers=key_header, content=b"filing")
                histogram.record_value(int((time.perf_counter() - started_at) * 1e6))
                if response.is_error:
                    sys.exit(f"{method}: {response.status_code} {response.text}")
    for percentile in (50, 99):
        without_record, with_record = (
            times[method].get_value_at_percentile(percentile) / 1000 for method in ("GET", "POST")
        )
        print_figure(f"call_without_record_ms_p{percentile}", without_record)
        print_figure(f"call_with_record_ms_p{percentile}", with_record)
        print_figure(f"added_by_record_ms_p{percentile}", with_record - without_record)


if __name__ == "__main__":
    main()
