"""Forwarding rules: data residency and loop prevention."""

from __future__ import annotations

from figpaddle.deployment import Configuration, ServiceConfiguration
from figpaddle.errors import ForbiddenError, ForwardingLoopError, RegionNotAllowedError

#: Maximum number of times that a request may cross from one region to another.
MAX_CROSSINGS = 1


def permitted_service(
    configuration: Configuration, *, member: str, service: str, region: str
) -> ServiceConfiguration:
    """Return the service if ``member`` offers it and ``region`` may hold its data.

    Every instance that receives a request, forwarded or not, applies its own configuration. Raises
    ForbiddenError or RegionNotAllowedError.
    """
    owner = configuration.member(member)
    found = owner.service(service) if owner is not None else None
    if found is None:
        raise ForbiddenError
    if region not in found.regions:
        raise RegionNotAllowedError(region=region)
    return found


def check_forward(*, instance: str, visited: tuple[str, ...], crossings: int) -> None:
    """Raise ForwardingLoopError if a request visited ``instance`` before or crossed too often."""
    if instance in visited or crossings > MAX_CROSSINGS:
        raise ForwardingLoopError(instance=instance)
