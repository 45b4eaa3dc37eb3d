"""The root of the exception tree."""

from __future__ import annotations


class FigpaddleError(Exception):
    """Base of every failure that figpaddle raises.

    Each failure says what happened, where, and how to mend it:

    >>> error = FigpaddleError(what="no such region 'seol'", where="regions[0]", mend="use 'seoul'")
    >>> str(error)
    "regions[0]: no such region 'seol' (use 'seoul')"
    """

    def __init__(self, *, what: str, where: str = "", mend: str = "") -> None:
        super().__init__(what)
        #: What went wrong, one sentence without a full stop.
        self.what = what
        #: The place at fault: a path in a file, an address or a component; may be empty.
        self.where = where
        #: What would put it right; may be empty.
        self.mend = mend

    def __str__(self) -> str:
        """Return the place, the fault and the remedy on one line."""
        place = f"{self.where}: " if self.where else ""
        remedy = f" ({self.mend})" if self.mend else ""
        return f"{place}{self.what}{remedy}"


class WireError(FigpaddleError):
    """A message between instances could not be read or was not expected."""


class MalformedMessageError(WireError):
    """The bytes are not a message of this protocol."""


class UnknownMessageError(WireError):
    """The version or the type of a message is not known here."""

    def __init__(self, *, what: str, where: str = "", mend: str = "", correlation: int = 0) -> None:
        super().__init__(what=what, where=where, mend=mend)
        #: Number that pairs the refusal with the message; 0 where it can't be told.
        self.correlation = correlation


class HandshakeError(WireError):
    """A peer could not prove that it belongs to this deployment."""


class PeerUnreachableError(WireError):
    """A peer did not answer within the timeout, or no link to it is open."""


class LeaseLostError(FigpaddleError):
    """This instance doesn't hold the lease, or not any more."""

    def __init__(self, *, holder: str) -> None:
        super().__init__(
            what=f"the lease is over; last held by {holder or 'nobody'}", where="lease"
        )


class DocumentError(FigpaddleError):
    """A file that a person wrote has faults; all of them are listed.

    >>> one = DocumentFault(path="regions", what="is missing", mend="list at least one region")
    >>> str(DocumentError(document="answers.yaml", faults=(one,)))
    'answers.yaml: regions: is missing (list at least one region)'
    """

    def __init__(self, *, document: str, faults: tuple[DocumentFault, ...]) -> None:
        super().__init__(what="\n".join(str(fault) for fault in faults), where=document)
        #: Every fault found, in the order of the document.
        self.faults = faults


class SettingsError(DocumentError):
    """The settings of a process are not valid."""


class QuestionnaireError(DocumentError):
    """The answers to the questionnaire are missing, contradictory or greedy."""


class DirectoryError(DocumentError):
    """The directory of clients can't be read."""


class DocumentFault:
    """One fault of a document: its path, what is wrong and what would be right."""

    def __init__(self, *, path: str, what: str, mend: str) -> None:
        #: Dotted path within the document.
        self.path = path
        #: What is wrong there.
        self.what = what
        #: What would be right.
        self.mend = mend

    def __str__(self) -> str:
        """Return the fault on one line."""
        return f"{self.path}: {self.what} ({self.mend})"
