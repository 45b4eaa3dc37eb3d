"""Measures what the ledger of non-idempotent requests costs; prints name=value lines."""

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
from figpaddle.ledger import Holder, HolderSettings, RecoveredSlot
from figpaddle.wire import (
    LedgerBegin,
    LedgerFinish,
    LedgerPage,
    LedgerRecord,
    LedgerRecover,
    RecordedAnswer,
    RecordKey,
)
from tests.calls import state, wait_for_ledger, wait_until
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


def show(name: str, value: float) -> None:
    """Print one figure."""
    print(f"{name}={value:.4g}", flush=True)


def new_holder(slot: str, *, voting_from: float | None = 0.5) -> Holder:
    """Return a holder that votes, or a blank one without ``voting_from``."""
    settings = HolderSettings(
        slot=slot, slots=SLOTS, retention_s=RETENTION_S, voting_from=voting_from
    )
    holder = Holder(settings=settings, incarnation=1, started_at=0.0)
    holder.poll(now=1.0)
    return holder


def begin(number: int) -> LedgerBegin:
    """Return the question of one new attempt."""
    return LedgerBegin(
        key=RecordKey(member="hanbit", client="desk", key=f"filing-{number:08d}"),
        service=SERVICE,
        digest=number.to_bytes(32, "big"),
        attempt=f"{number:032x}",
        votes=(),
        slots=SLOTS,
    )


def finish(asked: LedgerBegin) -> LedgerFinish:
    """Return the end of an attempt with an answer of usual size."""
    answer = RecordedAnswer(
        status=201,
        headers=(("content-type", "application/json"), ("content-length", str(ANSWER_BYTES))),
        body=b"x" * ANSWER_BYTES,
        backend="records-1",
        instance="seoul-1",
        region="seoul",
    )
    record = LedgerRecord(
        key=asked.key,
        digest=asked.digest,
        attempt=asked.attempt,
        begun_at=1.0,
        finished=True,
        answer=answer,
    )
    return LedgerFinish(record=record, service=SERVICE)


def measure_commits(folder: pathlib.Path) -> None:
    """Compare one fsync for many records with one fsync for each."""
    one_by_one = anyio.run(commit_rate, folder / "single", 1, SEQUENTIAL_RECORDS)
    together = anyio.run(commit_rate, folder / "group", COMMIT_WRITERS, COMMIT_RECORDS)
    show("records_per_s_one_fsync_each", one_by_one)
    show(f"records_per_s_group_commit_{COMMIT_WRITERS}_writers", together)
    show("group_commit_gain", together / one_by_one)


async def commit_rate(folder: pathlib.Path, writers: int, records: int) -> float:
    """Return durable records a second with ``writers`` at once."""
    storage = FileLedgerStorage(folder=folder, slot=SLOTS[0], slots=SLOTS)
    storage.read()
    holder = new_holder(SLOTS[0])
    commits = GroupCommit(storage=storage, snapshot=lambda: holder.snapshot(now=1.0))

    async def write(first: int) -> None:
        for number in range(first, records, writers):
            commits.append(holder.handle(begin(number), now=1.0).store)
            await commits.commit()

    begun = time.perf_counter()
    async with anyio.create_task_group() as tasks:
        for first in range(writers):
            tasks.start_soon(write, first)
    return records / (time.perf_counter() - begun)


def measure_size(folder: pathlib.Path, keys: int) -> None:
    """Print memory, file and times of recovery for ``keys`` finished records."""
    storage = FileLedgerStorage(folder=folder, slot=SLOTS[0], slots=SLOTS)
    storage.read()
    tracemalloc.start()
    holder = new_holder(SLOTS[0])
    for number in range(keys):
        asked = begin(number)
        holder.handle(asked, now=1.0)
        holder.handle(finish(asked), now=1.0)
    show(f"memory_bytes_per_key_{keys}", tracemalloc.get_traced_memory()[0] / keys)
    tracemalloc.stop()
    storage.replace(holder.snapshot(now=1.0))
    show(f"file_bytes_per_key_{keys}", storage.size_bytes / keys)
    show(f"restart_from_file_s_{keys}", timed(lambda: load_file(folder)))
    show(f"recover_from_two_slots_s_{keys}", timed(lambda: recover(folder, (holder, holder))))


def timed(work: Callable[[], object]) -> float:
    """Return the seconds that ``work`` takes."""
    begun = time.perf_counter()
    work()
    return time.perf_counter() - begun


def load_file(folder: pathlib.Path) -> Holder:
    """Return the holder that a restarted process makes from its file."""
    holder = new_holder(SLOTS[0], voting_from=None)
    holder.load(FileLedgerStorage(folder=folder, slot=SLOTS[0], slots=SLOTS).read())
    return holder


def recover(folder: pathlib.Path, others: tuple[Holder, ...]) -> None:
    """Read two other slots, without the network between, and store what they hold."""
    blank = new_holder(SLOTS[2], voting_from=None)
    sources = []
    for holder, slot in zip(others, SLOTS, strict=False):
        records: list[LedgerRecord] = []
        offset: int | None = 0
        while offset is not None:
            question = LedgerRecover(slot=SLOTS[2], incarnation=5, offset=offset)
            page = holder.handle(question, now=1.0).reply
            if not isinstance(page, LedgerPage):
                sys.exit("no page of records")
            records.extend(page.records)
            offset = page.next_offset
        sources.append(RecoveredSlot(slot=slot, records=tuple(records), known=()))
    storage = FileLedgerStorage(folder=folder / "recovered", slot=SLOTS[2], slots=SLOTS)
    storage.read()
    storage.write(blank.adopt(tuple(sources)).store)


def measure_requests(folder: pathlib.Path) -> None:
    """Compare calls with and without a record in pairs, through real processes."""
    folder.mkdir()
    with Deployment(folder) as deployment:
        write_examples(deployment)
        deployment.holders = {"seoul": list(SLOTS)}
        for name in SLOTS:
            deployment.start_instance(name, "seoul", data_folder=str(folder / name))
        deployment.start_backend("seoul-records", "records", "seoul", (SERVICE,))
        wait_for_ledger(*deployment.instances.values())
        for instance in deployment.instances.values():
            wait_until(
                lambda one=instance: len(state(one)["membership"]["links"]) == 2, what="links"
            )
        compare_calls(deployment.instances["seoul-2"].fields["callers"])


def compare_calls(entry: str) -> None:
    """Print the times of a read, which needs no record, and of a filing, in turn."""
    times = {"GET": HdrHistogram(1, 60_000_000, 3), "POST": HdrHistogram(1, 60_000_000, 3)}
    url = f"http://{entry}/services/{SERVICE}/filings"
    headers = {"authorization": f"Bearer {HANBIT_KEY}"}
    with httpx.Client(trust_env=False, timeout=20.0, headers=headers) as client:
        for number in range(PAIRED_CALLS):
            for method, histogram in times.items():
                key = {"idempotency-key": f"measured-{number}"}
                begun = time.perf_counter()
                answer = client.request(method, url, headers=key, content=b"filing")
                histogram.record_value(int((time.perf_counter() - begun) * 1e6))
                if answer.is_error:
                    sys.exit(f"{method}: {answer.status_code} {answer.text}")
    for percentile in (50, 99):
        plain, recorded = (
            times[method].get_value_at_percentile(percentile) / 1000 for method in ("GET", "POST")
        )
        show(f"call_without_record_ms_p{percentile}", plain)
        show(f"call_with_record_ms_p{percentile}", recorded)
        show(f"added_by_record_ms_p{percentile}", recorded - plain)


if __name__ == "__main__":
    main()
