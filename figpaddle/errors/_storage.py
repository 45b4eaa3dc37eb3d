"""Failures of files that must outlive the process."""

from __future__ import annotations

from figpaddle.errors._base import FigpaddleError


class StorageError(FigpaddleError):
    """Durable state could not be read or written."""


class CorruptFileError(StorageError):
    """A file is damaged before its end, so that what it says can't be trusted."""


class ForeignFileError(StorageError):
    """A file belongs to another slot or to another list of slots."""
