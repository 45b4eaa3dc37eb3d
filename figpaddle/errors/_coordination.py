"""Failures of the replicated log and of changes of the configuration."""

from __future__ import annotations

from figpaddle.errors._base import FigpaddleError
from figpaddle.errors._request import Outcome, RequestError


class CoordinationError(FigpaddleError):
    """The replicated log can't do what was asked."""


class NotLeaderError(CoordinationError):
    """Only the leader takes proposals and reads."""

    def __init__(self, *, leader: str | None) -> None:
        super().__init__(what="this replica does not lead", mend=f"ask {leader or 'a voter'}")
        #: Name of the leader as far as known.
        self.leader = leader


class LogConflictError(CoordinationError):
    """A message contradicts a committed entry: two logs have met."""


class NoMajorityError(CoordinationError):
    """A majority of the voters did not confirm; a change may or may not take effect."""


class StorageError(CoordinationError):
    """Durable state could not be read or written; nothing may be promised any more."""


class StorageCorruptError(StorageError):
    """A durable record other than the last one is damaged."""


class StorageFullError(StorageError):
    """The disk is full; what was durable before still is, and nothing new."""


class ChangeConflictError(RequestError):
    """Another change of the same member was accepted first."""

    status = 409
    problem = "configuration-conflict"

    def __init__(self, *, member: str, revision: int, winner: str, operator: str) -> None:
        super().__init__(
            what=f"{member} is at revision {revision} by change {winner} of {operator}",
            mend="read the configuration again and base the change on it",
        )
        #: Revision of the member's part in force.
        self.revision = revision
        #: Command id of the change that won.
        self.winner = winner
        #: Operator that made it.
        self.operator = operator


class CommandReusedError(RequestError):
    """A command id was used before for other content."""

    status = 422
    problem = "command-id-reused"

    def __init__(self, *, command_id: str) -> None:
        super().__init__(
            what=f"command {command_id} was sent before with other content",
            mend="give each change an id of its own",
        )


class ControlUnavailableError(RequestError):
    """No leader confirmed the change in time; sending it again with its id is safe."""

    status = 503
    problem = "control-unavailable"

    def __init__(self, *, outcome: Outcome = Outcome.UNKNOWN) -> None:
        super().__init__(
            what="no leader confirmed the change in time",
            outcome=outcome,
            retry_after_s=2.0,
            mend="send it again with the same command id",
        )


class ConfigurationMissingError(RequestError):
    """The instance has no configuration yet and so serves nothing that rests on it."""

    status = 503
    problem = "no-configuration"

    def __init__(self, *, instance: str) -> None:
        super().__init__(
            what=f"instance {instance} has no configuration yet",
            mend="use another entry instance",
            retry_after_s=1.0,
        )


class ConfigurationUnconfirmedError(RequestError):
    """The instance is cut off from the voters and takes nothing from other regions."""

    status = 503
    problem = "configuration-unconfirmed"

    def __init__(self, *, instance: str) -> None:
        super().__init__(
            what=f"instance {instance} can't confirm its configuration", retry_after_s=2.0
        )
