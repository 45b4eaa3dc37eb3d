"""Settings of one process, read from YAML and checked."""

from __future__ import annotations

import pathlib
from typing import Annotated, Any

import pydantic
import yaml

from figpaddle.deployment import faults_of
from figpaddle.errors import DocumentFault, SettingsError
from figpaddle.routing import PolicyName

Address = Annotated[str, pydantic.StringConstraints(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]
Name = Annotated[str, pydantic.StringConstraints(pattern=r"^[a-z][a-z0-9-]{0,62}$")]


class _Section(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class ListenSettings(_Section):
    """Addresses to listen on; port 0 takes a free one."""

    #: Port for callers.
    callers: Address
    #: Port for backend servers.
    backends: Address
    #: Port for operators.
    operators: Address
    #: Port for other instances.
    peers: Address


class AdvertiseSettings(_Section):
    """Addresses told to others where they differ from those listened on."""

    #: Address for callers.
    callers: Address | None = None
    #: Address for other instances.
    peers: Address | None = None


class OperatorSettings(_Section):
    """One operator."""

    #: Name of the operator.
    name: Name
    #: Hexadecimal SHA-256 of the operator's token.
    token_digest: Annotated[str, pydantic.StringConstraints(pattern=r"^[0-9a-f]{64}$")]
    #: Member whose configuration the operator may see and change; None for the platform's own.
    member: Name | None = None


class ControlSettings(_Section):
    """Who keeps the configuration of the deployment."""

    #: Names of the instances with a data folder that vote; the same list in all settings.
    voters: tuple[Name, ...] = ()


class LimitSettings(_Section):
    """Limits of the process."""

    #: Largest body of a request, bytes.
    body_bytes: Annotated[int, pydantic.Field(gt=0)] = 8 * 1024 * 1024
    #: A caller that neither sends its body nor takes its answer for this long is gone, seconds.
    caller_idle_s: Annotated[float, pydantic.Field(gt=0)] = 30.0
    #: Longest time that a planned stop waits for requests in progress, seconds.
    drain_s: Annotated[float, pydantic.Field(gt=0)] = 120.0
    #: Time during which a leaving instance still takes requests, seconds.
    leave_grace_s: Annotated[float, pydantic.Field(ge=0)] = 6.0


class LedgerSettings(_Section):
    """The ledger of non-idempotent requests; equal on all instances but for ``voting_from``."""

    #: Instances that hold the records of each region, in the order in which they are asked.
    holders: dict[Name, tuple[Name, ...]] = {}
    #: How long a record is kept, seconds.
    retention_s: Annotated[float, pydantic.Field(gt=0)] = 24 * 3600.0
    #: This instance's slot gives no vote before this moment. One that started earlier can't have
    #: forgotten any vote; one that starts later without its memory recovers it from the others.
    voting_from: pydantic.AwareDatetime | None = None
    #: Largest answer that is kept to be replayed, bytes.
    answer_bytes: Annotated[int, pydantic.Field(ge=0, le=1024 * 1024)] = 64 * 1024


class Settings(_Section):
    """All settings of one process."""

    #: Unique name of the instance.
    instance: Name
    #: Region it stands in.
    region: Name
    #: Availability zone it stands in.
    zone: Name
    #: Addresses to listen on.
    listen: ListenSettings
    #: Addresses told to others.
    advertise: AdvertiseSettings = AdvertiseSettings()
    #: Peer addresses of instances to join by.
    join: tuple[Address, ...] = ()
    #: Key that all instances of the deployment share.
    deployment_key: Annotated[str, pydantic.StringConstraints(min_length=32)]
    #: File that lists the clients.
    directory: pathlib.Path
    #: File with the configuration at the first start.
    configuration: pathlib.Path | None = None
    #: Folder for durable state; None for an instance without a disk.
    data_folder: pathlib.Path | None = None
    #: Operators.
    operators: tuple[OperatorSettings, ...] = ()
    #: Who keeps the configuration.
    control: ControlSettings = ControlSettings()
    #: How requests are placed; the others serve to compare.
    policy: PolicyName = "scored"
    #: Limits.
    limits: LimitSettings = LimitSettings()
    #: Ledger of non-idempotent requests.
    ledger: LedgerSettings = LedgerSettings()


def load_yaml(path: pathlib.Path) -> Any:
    """Return the content of a YAML file; raises SettingsError if it can't be read."""
    try:
        return yaml.safe_load(path.read_text(encoding="utf-8"))
    except (OSError, yaml.YAMLError, UnicodeDecodeError) as error:
        fault = DocumentFault(
            path="(whole file)", what=str(error), mend="give a readable YAML file"
        )
        raise SettingsError(document=str(path), faults=(fault,)) from error


def load_settings(path: pathlib.Path) -> Settings:
    """Return the settings in ``path``; raises SettingsError with every fault."""
    document = load_yaml(path)
    try:
        settings = Settings.model_validate(document)
    except pydantic.ValidationError as error:
        raise SettingsError(document=str(path), faults=faults_of(error)) from error
    base = path.resolve().parent
    changes = {
        name: base / value
        for name in ("directory", "configuration", "data_folder")
        if (value := getattr(settings, name)) is not None
    }
    return settings.model_copy(update=changes)
