"""Rules that keep a request inside its regions and out of loops."""

from __future__ import annotations

from figpaddle.deployment import Configuration, ServiceConfiguration
from figpaddle.errors import ForbiddenError, ForwardingLoopError, RegionNotAllowedError

#: How often a request may cross from one region to another.
MAX_CROSSINGS = 1


def permitted_service(
    configuration: Configuration, *, member: str, service: str, region: str
) -> ServiceConfiguration:
    """Return the service if ``member`` has it and ``region`` may hold its data.

    Every instance that receives a request calls this with its own configuration, also for a
    forwarded one. Raises ForbiddenError or RegionNotAllowedError.
    """
    owner = configuration.member(member)
    found = owner.service(service) if owner is not None else None
    if found is None:
        raise ForbiddenError
    if region not in found.regions:
        raise RegionNotAllowedError(region=region)
    return found


def check_forward(*, instance: str, visited: tuple[str, ...], crossings: int) -> None:
    """Raise ForwardingLoopError if a forwarded request must not be served at ``instance``."""
    if instance in visited or crossings > MAX_CROSSINGS:
        raise ForwardingLoopError(instance=instance)
