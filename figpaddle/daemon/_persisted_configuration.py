"""Storage of the latest configuration in the data folder, for use after a restart."""

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
    """Stores the configuration as one checksummed record that is replaced atomically.

    A damaged file is treated as missing: the instance then requests the configuration from its
    peers, as does one without a data folder.
    """

    def __init__(self, *, folder: pathlib.Path) -> None:
        self._path = folder / CONFIGURATION_FILE_NAME

    def load(self) -> VersionedConfiguration | None:
        """Return the stored configuration, or None if the file is missing or damaged."""
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
        """Store ``versioned`` durably, or delete the file if that fails.

        Without the file a restart can't bring an older configuration back into force. Raises
        StorageError if neither is possible; the configuration must not be used then.
        """
        encodable = _VERSIONED_ADAPTER.dump_python(versioned, mode="json")
        try:
            self._path.parent.mkdir(parents=True, exist_ok=True)
            replace_file(self._path, pack_record(cbor2.dumps(encodable)))
        except StorageError:
            self._delete()

    def _delete(self) -> None:
        try:
            self._path.unlink(missing_ok=True)
        except OSError as error:
            raise StorageError(what=str(error), where=str(self._path)) from error
