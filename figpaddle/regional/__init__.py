"""The processes of a multi-region deployment: entries and control instances.

An entry accepts callers' requests and sends each to a backend server of its own region or forwards
it to an entry of another region. A control instance accepts the calls of operators and backend
servers and is a voter of the replicated cluster state. A ``Dialect`` translates between the
messages of one platform and the types of this package.
"""

from typing import TYPE_CHECKING

from figpaddle._deferred_names import deferred_names
from figpaddle.regional._dialect import (
    BackendAnswer,
    BackendCall,
    CallerRequest,
    ControlCall,
    Dialect,
    EntryLookup,
    GetConfiguration,
    HealthAnswer,
    InvalidConfigurationError,
    PutConfiguration,
    ReadinessCheck,
    SetEvacuation,
)
from figpaddle.regional._process import RegionalProcess, SettingsReader
from figpaddle.regional._settings import Bounds, ProcessSettings

if TYPE_CHECKING:
    from figpaddle.regional._control_process import ControlProcess
    from figpaddle.regional._entry import EntryProcess
else:
    __getattr__ = deferred_names(
        __name__,
        {
            "_control_process": "ControlProcess",
            "_entry": "EntryProcess",
        },
    )

__all__ = [
    "BackendAnswer",
    "BackendCall",
    "Bounds",
    "CallerRequest",
    "ControlCall",
    "ControlProcess",
    "Dialect",
    "EntryLookup",
    "EntryProcess",
    "GetConfiguration",
    "HealthAnswer",
    "InvalidConfigurationError",
    "ProcessSettings",
    "PutConfiguration",
    "ReadinessCheck",
    "RegionalProcess",
    "SetEvacuation",
    "SettingsReader",
]
