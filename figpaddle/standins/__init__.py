"""Small stand-ins for the served systems: engines and an application service."""

from figpaddle.standins._engine import Engine
from figpaddle.standins._main import main
from figpaddle.standins._records import RecordsService
from figpaddle.standins._simulated_engine import EngineSpeed, Job, VirtualEngine
from figpaddle.standins._simulation import VirtualRun
from figpaddle.standins._simulation_settings import RunFault, RunResult, RunSettings
from figpaddle.standins._traffic import Arrival, ClassShape, Traffic, TrafficShape

__all__ = [
    "Arrival",
    "ClassShape",
    "Engine",
    "EngineSpeed",
    "Job",
    "RecordsService",
    "RunFault",
    "RunResult",
    "RunSettings",
    "Traffic",
    "TrafficShape",
    "VirtualEngine",
    "VirtualRun",
    "main",
]
