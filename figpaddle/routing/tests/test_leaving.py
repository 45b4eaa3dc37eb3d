"""Callers of a region whose entries are stopped in turn are served throughout."""

from __future__ import annotations

import pytest

from figpaddle.routing import may_retire, may_take

GRACE_S = 8.0
#: Time between two entries' requests to stop, and from an entry's end until it is ready again.
GAP_S, RESTART_S = 1.4, 1.5


def test_a_region_with_two_entries_stopped_in_turn_always_has_one_that_takes_callers() -> None:
    """The entries of a region are stopped one after the other, faster than one starts again."""
    stopped_at = [0.0, GAP_S]
    retired_at: list[float | None] = [None, None]
    for step in range(1200):
        now = step * 0.01
        ready = [
            now < stopped or (retired is not None and now >= retired + RESTART_S)
            for stopped, retired in zip(stopped_at, retired_at, strict=True)
        ]
        for index, stopped in enumerate(stopped_at):
            if retired_at[index] is None and now >= stopped:
                other = 1 - index
                stopping = now >= stopped_at[other] and retired_at[other] is None
                if may_retire(
                    stopping_for_s=now - stopped,
                    grace_s=GRACE_S,
                    others_ready=ready[other],
                    others_stopping_s=(now - stopped_at[other],) if stopping else (),
                ):
                    retired_at[index] = now
        taking = [
            up or (now >= stopped and retired is None)
            for up, stopped, retired in zip(ready, stopped_at, retired_at, strict=True)
        ]
        assert any(taking), now
    assert None not in retired_at


@pytest.mark.parametrize("stopping_for_s", [0.0, 1.0, 1.4])
def test_everything_is_taken_until_callers_know_better(stopping_for_s: float) -> None:
    assert may_take(stopping_for_s=stopping_for_s, grace_s=GRACE_S, output_tokens=2000)
    assert not may_retire(
        stopping_for_s=stopping_for_s, grace_s=GRACE_S, others_ready=5, others_stopping_s=()
    )


def test_what_could_not_end_in_time_is_not_begun() -> None:
    """A stream taken 4 s after the request to stop would be cut off in its middle."""
    assert not may_take(stopping_for_s=4.0, grace_s=GRACE_S, output_tokens=400)
    assert may_take(stopping_for_s=4.0, grace_s=GRACE_S, output_tokens=30)
    assert not may_take(stopping_for_s=7.0, grace_s=GRACE_S, output_tokens=0)
