"""Assignment of backend servers to the entries of a region."""

from __future__ import annotations

import collections

import pytest

from figpaddle.routing import backend_subset


@pytest.mark.parametrize(("entries", "backends"), [(28, 23), (28, 14), (9, 46), (3, 4), (1, 6)])
def test_each_backend_server_is_used_by_about_the_same_number_of_entries(
    entries: int, backends: int
) -> None:
    entry_names = [f"e-{number}" for number in range(entries)]
    backend_names = [f"i-{number}" for number in range(backends)]
    counts: collections.Counter[str] = collections.Counter()
    for name in entry_names:
        subset = backend_subset(name, entry_names, backend_names)
        assert sorted(subset.order) == sorted(backend_names)
        selected = subset.select(set(backend_names))
        assert len(selected) == min(backends, subset.size)
        counts.update(selected)
    assert min(counts[name] for name in backend_names) >= min(entries, 3) - 1
    assert max(counts.values()) - min(counts.values()) <= 1


def test_entries_that_know_the_same_instances_agree() -> None:
    first = backend_subset("b", ["a", "b", "c"], ["x", "y", "z", "w"])
    assert first == backend_subset("b", ["c", "a"], ["w", "z", "y", "x"])
    assert first != backend_subset("a", ["b", "c"], ["w", "z", "y", "x"])
