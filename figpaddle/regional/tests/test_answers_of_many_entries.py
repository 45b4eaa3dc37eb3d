"""Many entries refuse a prompt part that only sometimes crashes servers as soon as one entry would."""

from __future__ import annotations

import pytest

from figpaddle.regional.tests.simulated_instances import CONTROLS, Network, make_instances
from figpaddle.regional.tests.test_crash_reports import (
    START_S,
    add_quarantine,
    anyio_backend,  # noqa: F401
    simulated_pauses,  # noqa: F401
)
from figpaddle.routing import RequestTraits
from figpaddle.wire import InstanceRole

pytestmark = pytest.mark.anyio

#: Answers that settle before each crash; ``ANSWERS_PER_LOSS`` would outweigh it.
ANSWERS = 3
#: Crashes after which one decider refuses a part with so many answers, see
#: ``test_a_part_of_which_only_some_requests_crash_is_refused_and_a_shared_one_not``.
MAX_CRASHES = 5
CRASHING = RequestTraits(member="m", fingerprint=b"", parts=(b"crashing part",))


@pytest.mark.parametrize("entries", [1, 28])
async def test_a_part_with_few_answers_is_refused_at_any_number_of_entries(entries: int) -> None:
    # Guards against BUDGET without end: each entry takes its own answers for a share of all entries'.
    network = Network(seed=1)
    quarantines = [
        add_quarantine(instance)
        for instance in make_instances(network, CONTROLS + entries)
        if instance.settings.role is InstanceRole.ENTRY
    ]
    await network.run(START_S)
    for number in range(MAX_CRASHES):
        for quarantine in quarantines:
            quarantine.run_housekeeping()
        for answer in range(ANSWERS):
            quarantine, key = network.rng.choice(quarantines), f"sound{number}.{answer}/1"
            quarantine.note_sent(key, CRASHING, process=("i-sound", 1))
            quarantine.note_progress(key)
            network.at(network.now + 1.1, lambda of=quarantine, key=key: of.note_progress(key))
        await network.run(1.5)
        quarantine, process = network.rng.choice(quarantines), (f"i-{number}", 1)
        key = f"crash{number}/1"
        quarantine.note_sent(key, CRASHING, process=process)
        await network.run(0.1)
        quarantine.note_ended(key, complete=False)
        quarantine.note_lost_connection(process, "10.3.0.1:80")
        await network.run(1.5)
    refused = sum(quarantine.refusal(CRASHING) is not None for quarantine in quarantines)
    assert refused == len(quarantines)
