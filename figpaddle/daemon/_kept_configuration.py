"""The last configuration of an instance with a data folder, kept over restarts."""

from __future__ import annotations

import pathlib

import cbor2
import pydantic

from figpaddle.daemon._log_file import frame, read_frame, replace_file
from figpaddle.deployment import VersionedConfiguration
from figpaddle.errors import StorageError

#: Name of the file in the data folder.
KEPT_FILE_NAME = "configuration.kept"

_VERSIONED = pydantic.TypeAdapter(VersionedConfiguration)


class KeptConfiguration:
    """One checksummed record that is replaced whole.

    A damaged file counts as none: the instance then asks its peers, as one without a disk does.
    """

    def __init__(self, *, folder: pathlib.Path) -> None:
        self._path = folder / KEPT_FILE_NAME

    def load(self) -> VersionedConfiguration | None:
        """Return the kept configuration, or None."""
        try:
            content = read_frame(self._path.read_bytes(), 0)
            return None if content is None else _VERSIONED.validate_python(cbor2.loads(content))
        except (OSError, pydantic.ValidationError, cbor2.CBORDecodeError):
            return None

    def save(self, versioned: VersionedConfiguration) -> None:
        """Keep ``versioned`` durably, or else keep nothing, so that none older comes back.

        Raises StorageError where neither can be done; the configuration must not be used then.
        """
        plain = _VERSIONED.dump_python(versioned, mode="json")
        try:
            self._path.parent.mkdir(parents=True, exist_ok=True)
            replace_file(self._path, frame(cbor2.dumps(plain)))
        except StorageError:
            self._forget()

    def _forget(self) -> None:
        try:
            self._path.unlink(missing_ok=True)
        except OSError as error:
            raise StorageError(what=str(error), where=str(self._path)) from error
