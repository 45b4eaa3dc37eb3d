"""The programs of a deployment in several regions: entries and control instances.

An entry takes callers' requests and places each at a backend server of its own region or hands it
to an entry of another. A control instance takes the calls of operators and backend servers and
votes on the state that all instances agree on. What they speak with the outside is a ``Dialect``.
"""

from figpaddle.regional._control_process import ControlProcess
from figpaddle.regional._dialect import (
    BackendAnswer,
    BackendCall,
    CallerRequest,
    ControlCall,
    Dialect,
    EntryLookup,
    GetConfiguration,
    InvalidConfigurationError,
    PutConfiguration,
    ReadinessCheck,
    SetEvacuation,
)
from figpaddle.regional._entry import EntryProcess
from figpaddle.regional._process import RegionalProcess, SettingsReader
from figpaddle.regional._settings import Bounds, ProcessSettings

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
    "InvalidConfigurationError",
    "ProcessSettings",
    "PutConfiguration",
    "ReadinessCheck",
    "RegionalProcess",
    "SetEvacuation",
    "SettingsReader",
]
