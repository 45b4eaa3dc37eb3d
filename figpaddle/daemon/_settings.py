"""Settings of one process, read from a YAML file and validated."""

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
    """Addresses to listen on; port 0 selects a free port."""

    #: Port for callers.
    callers: Address
    #: Port for backend servers.
    backends: Address
    #: Port for operators.
    operators: Address
    #: Port for other instances.
    peers: Address


class AdvertiseSettings(_Section):
    """Addresses advertised to callers and instances if they differ from the listening ones."""

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
    #: Member whose configuration the operator may see and change; None for operators of the
    #: platform, who may see and change all.
    member: Name | None = None


class ControlSettings(_Section):
    """The instances that replicate the configuration of the deployment."""

    #: Names of the voters, which need a data folder; the list is the same on all instances.
    voters: tuple[Name, ...] = ()


class LimitSettings(_Section):
    """Limits of the process."""

    #: Largest request body, bytes.
    body_bytes: Annotated[int, pydantic.Field(gt=0)] = 8 * 1024 * 1024
    #: Bytes that the process holds of the requests of all clients while it receives and serves them.
    client_bytes: Annotated[int, pydantic.Field(gt=0)] = 64 * 1024 * 1024
    #: Open connections at each of the ports for callers, backend servers and operators.
    client_connections: Annotated[int, pydantic.Field(gt=0)] = 1024
    #: Longest time without progress in reading a caller's request body or in sending it the
    #: response, seconds; the request is then given up.
    caller_idle_s: Annotated[float, pydantic.Field(gt=0)] = 30.0
    #: Longest time that a planned stop waits for in-flight requests, seconds.
    drain_s: Annotated[float, pydantic.Field(gt=0)] = 120.0
    #: Time for which an instance still accepts requests after a planned stop has begun, seconds.
    leave_grace_s: Annotated[float, pydantic.Field(ge=0)] = 6.0


class LedgerSettings(_Section):
    """The ledger of non-idempotent requests; the same on all instances except ``voting_from``."""

    #: Instances that store the ledger records of each region, in the order of requests to them.
    holders: dict[Name, tuple[Name, ...]] = {}
    #: Time for which a record is stored, seconds.
    retention_s: Annotated[float, pydantic.Field(gt=0)] = 24 * 3600.0
    #: Time before which this instance's ledger slot doesn't vote. A slot that starts earlier can't
    #: have voted yet and needs no recovery; one that starts later without its records may have lost
    #: votes and first recovers them from the other slots of the region.
    voting_from: pydantic.AwareDatetime | None = None
    #: Largest response that is stored for replay, bytes.
    answer_bytes: Annotated[int, pydantic.Field(ge=0, le=1024 * 1024)] = 64 * 1024


class Settings(_Section):
    """All settings of one process."""

    #: Unique name of the instance.
    instance: Name
    #: Region of the instance.
    region: Name
    #: Availability zone of the instance.
    zone: Name
    #: Addresses to listen on.
    listen: ListenSettings
    #: Addresses advertised to others.
    advertise: AdvertiseSettings = AdvertiseSettings()
    #: Peer addresses of the instances through which this one joins the deployment.
    join: tuple[Address, ...] = ()
    #: Secret key shared by all instances of the deployment.
    deployment_key: Annotated[str, pydantic.StringConstraints(min_length=32)]
    #: File with the list of clients.
    directory: pathlib.Path
    #: File with the configuration to start the deployment with.
    configuration: pathlib.Path | None = None
    #: Folder for durable state; None for an instance without durable state.
    data_folder: pathlib.Path | None = None
    #: Operators.
    operators: tuple[OperatorSettings, ...] = ()
    #: Instances that replicate the configuration.
    control: ControlSettings = ControlSettings()
    #: Placement policy; policies other than ``scored`` are for comparison.
    policy: PolicyName = "scored"
    #: Limits.
    limits: LimitSettings = LimitSettings()
    #: Ledger of non-idempotent requests.
    ledger: LedgerSettings = LedgerSettings()


def load_yaml(path: pathlib.Path) -> Any:
    """Return the content of a YAML file; raises SettingsError if it can't be read or parsed."""
    try:
        return yaml.safe_load(path.read_text(encoding="utf-8"))
    except (OSError, yaml.YAMLError, UnicodeDecodeError) as error:
        fault = DocumentFault(
            path="(whole file)", what=str(error), hint="provide a readable YAML file"
        )
        raise SettingsError(document=str(path), faults=(fault,)) from error


def load_settings(path: pathlib.Path) -> Settings:
    """Return the settings in ``path``; raises SettingsError with all faults.

    Relative paths in the file are relative to its folder.
    """
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
