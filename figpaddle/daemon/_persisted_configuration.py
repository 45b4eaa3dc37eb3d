"""The last configuration of an instance with a data folder, kept over restarts."""

from __future__ import annotations

import pathlib

import cbor2
import pydantic

from figpaddle.daemon._log_file import pack_record, replace_file, unpack_record
from figpaddle.deployment import VersionedConfiguration
from figpaddle.errors import StorageError

#: Name of the file in the data folder.
CONFIGURATION_FILE_NAME = "configuration.kept"

_VERSIONED_ADAPTER = pydantic.TypeAdapter(VersionedConfiguration)


class PersistedConfiguration:
    """One checksummed record that is replaced whole.

    A damaged file counts as none: the instance then asks its peers, as one without a disk does.
    """

    def __init__(self, *, folder: pathlib.Path) -> None:
        self._path = folder / CONFIGURATION_FILE_NAME

    def load(self) -> VersionedConfiguration | None:
        """Return the kept configuration, or None."""
        try:
            content = unpack_record(self._path.read_bytes(), 0)
            return (
                None
                if content is None
                else _VERSIONED_ADAPTER.validate_python(cbor2.loads(content))
            )
        except (OSError, pydantic.ValidationError, cbor2.CBORDecodeError):
            return None

    def save(self, versioned: VersionedConfiguration) -> None:
        """Keep ``versioned`` durably, or else keep nothing, so that none older comes back.

        Raises StorageError where neither can be done; the configuration must not be used then.
        """
        plain = _VERSIONED_ADAPTER.dump_python(versioned, mode="json")
        try:
            self._path.parent.mkdir(parents=True, exist_ok=True)
            replace_file(self._path, pack_record(cbor2.dumps(plain)))
        except StorageError:
            self._delete()

    def _delete(self) -> None:
        try:
            self._path.unlink(missing_ok=True)
        except OSError as error:
            raise StorageError(what=str(error), where=str(self._path)) from error
