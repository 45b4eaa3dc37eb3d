"""Append-only files of durable records."""

from figpaddle.storage._record_file import HEADER, MAGIC, RecordFile

__all__ = ["HEADER", "MAGIC", "RecordFile"]
