"""Append-only files of durable records."""

from figpaddle.storage._record_file import HEAD, MAGIC, RecordFile

__all__ = ["HEAD", "MAGIC", "RecordFile"]
