"""The base of the exception hierarchy, and errors of messages, leases and documents."""

from __future__ import annotations


class FigpaddleError(Exception):
    """Base of all errors that figpaddle raises.

    Each error describes what happened, where, and how to correct it:

    >>> error = FigpaddleError(what="no such region 'seol'", where="regions[0]", hint="use 'seoul'")
    >>> str(error)
    "regions[0]: no such region 'seol' (use 'seoul')"
    """

    def __init__(self, *, what: str, where: str = "", hint: str = "") -> None:
        super().__init__(what)
        #: Description of the error, one sentence without a full stop.
        self.what = what
        #: Location of the error: a path in a file, an address or a component; may be empty.
        self.where = where
        #: Suggested remedy; may be empty.
        self.hint = hint

    def __str__(self) -> str:
        """Return the location, the description and the remedy on one line."""
        location = f"{self.where}: " if self.where else ""
        remedy = f" ({self.hint})" if self.hint else ""
        return f"{location}{self.what}{remedy}"


class WireError(FigpaddleError):
    """A message between instances was invalid, unexpected or not answered."""


class MalformedMessageError(WireError):
    """The bytes are not a valid message of this protocol."""


class UnknownMessageError(WireError):
    """The version or the type of a message is not supported."""

    def __init__(self, *, what: str, where: str = "", hint: str = "", correlation: int = 0) -> None:
        super().__init__(what=what, where=where, hint=hint)
        #: Correlation number of the rejected message; 0 if unknown.
        self.correlation = correlation


class HandshakeError(WireError):
    """A peer failed to prove that it belongs to this deployment."""


class PeerUnreachableError(WireError):
    """A peer did not reply within the timeout, or no link to it is open."""


class LeaseLostError(FigpaddleError):
    """This instance doesn't hold the lease, or no longer holds it."""

    def __init__(self, *, holder: str) -> None:
        super().__init__(
            what=f"this instance doesn't hold the lease; the last holder was {holder or 'nobody'}",
            where="lease",
        )


class DocumentError(FigpaddleError):
    """A user-written file has faults, all of which are listed.

    >>> fault = DocumentFault(path="regions", what="is missing", hint="list at least one region")
    >>> str(DocumentError(document="answers.yaml", faults=(fault,)))
    'answers.yaml: regions: is missing (list at least one region)'
    """

    def __init__(self, *, document: str, faults: tuple[DocumentFault, ...]) -> None:
        super().__init__(what="\n".join(str(fault) for fault in faults), where=document)
        #: All faults, in the order of the document.
        self.faults = faults


class SettingsError(DocumentError):
    """The settings of a process are invalid."""


class QuestionnaireError(DocumentError):
    """The answers to the questionnaire are missing, contradictory or exceed a limit."""


class DirectoryError(DocumentError):
    """The directory of clients is invalid."""


class DocumentFault:
    """One fault of a document: its path, a description and a remedy."""

    def __init__(self, *, path: str, what: str, hint: str) -> None:
        #: Dotted path within the document.
        self.path = path
        #: Description of the fault.
        self.what = what
        #: Suggested remedy.
        self.hint = hint

    def __str__(self) -> str:
        """Return the fault on one line."""
        return f"{self.path}: {self.what} ({self.hint})"
