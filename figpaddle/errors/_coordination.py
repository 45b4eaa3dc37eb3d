"""Errors of the replicated log, of durable storage and of configuration changes."""

from __future__ import annotations

from figpaddle.errors._base import FigpaddleError
from figpaddle.errors._request import Outcome, RequestError


class CoordinationError(FigpaddleError):
    """The replicated log or its storage can't carry out an operation."""


class NotLeaderError(CoordinationError):
    """A proposal or a read was sent to a replica that isn't the leader."""

    def __init__(self, *, leader: str | None) -> None:
        super().__init__(
            what="this replica is not the leader",
            hint=f"send the request to {leader or 'another voter'}",
        )
        #: Name of the leader; None if unknown.
        self.leader = leader


class LogConflictError(CoordinationError):
    """A message contradicts a committed entry, so its sender has a different log."""


class NoMajorityError(CoordinationError):
    """A majority of the voters did not confirm; a proposed change may or may not take effect."""


class OrderOvertakenError(CoordinationError):
    """An order had no effect, since another one for the same zone was confirmed after it was given."""


class StorageError(CoordinationError):
    """Durable state can't be read or written; the process must not acknowledge anything more."""


class StorageCorruptError(StorageError):
    """A durable record other than the last one is damaged."""


class StorageFullError(StorageError):
    """The disk is full; earlier records stay durable, and new ones can't be stored."""


class ChangeConflictError(RequestError):
    """Another configuration change of the same member was accepted first."""

    status = 409
    problem = "configuration-conflict"

    def __init__(self, *, member: str, revision: int, winner: str, operator: str) -> None:
        super().__init__(
            what=f"change {winner} by {operator} moved {member} to revision {revision} first",
            hint="read the configuration again and base the change on it",
        )
        #: Current revision of the member's part.
        self.revision = revision
        #: Command id of the change that was accepted.
        self.winner = winner
        #: Operator that made that change.
        self.operator = operator


class CommandReusedError(RequestError):
    """A command id was reused with different content."""

    status = 422
    problem = "command-id-reused"

    def __init__(self, *, command_id: str) -> None:
        super().__init__(
            what=f"command {command_id} was sent before with different content",
            hint="use a new command id for each change",
        )


class ControlUnavailableError(RequestError):
    """No leader confirmed the change in time; a retry with the same command id is safe."""

    status = 503
    problem = "control-unavailable"

    def __init__(self, *, outcome: Outcome = Outcome.UNKNOWN) -> None:
        super().__init__(
            what="no leader confirmed the change in time",
            outcome=outcome,
            retry_after_s=2.0,
            hint="retry with the same command id",
        )


class ConfigurationMissingError(RequestError):
    """The instance has no configuration yet and can't serve requests that need one."""

    status = 503
    problem = "no-configuration"

    def __init__(self, *, instance: str) -> None:
        super().__init__(
            what=f"instance {instance} has no configuration yet",
            hint="use another entry instance",
            retry_after_s=1.0,
        )


class ConfigurationUnconfirmedError(RequestError):
    """The instance can't reach the voters and so accepts no requests from other regions."""

    status = 503
    problem = "configuration-unconfirmed"

    def __init__(self, *, instance: str) -> None:
        super().__init__(
            what=f"instance {instance} can't confirm its configuration", retry_after_s=2.0
        )
