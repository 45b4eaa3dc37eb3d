"""Coordination parts without input or output: membership, replicated log, leases."""

from figpaddle.coordination._directory import InstanceDirectory

__all__ = ["InstanceDirectory"]
