"""Stand-ins for served systems, as processes and simulated, for tests and measurements."""

from figpaddle.standins._engine import Engine
from figpaddle.standins._main import main
from figpaddle.standins._records import RecordsService
from figpaddle.standins._simulated_engine import EngineSpeed, Job, SimulatedEngine
from figpaddle.standins._simulation import Simulation
from figpaddle.standins._simulation_settings import (
    RequestResult,
    SimulatedFault,
    SimulationSettings,
)
from figpaddle.standins._traffic import Arrival, RequestClass, Traffic, TrafficProfile

__all__ = [
    "Arrival",
    "Engine",
    "EngineSpeed",
    "Job",
    "RecordsService",
    "RequestClass",
    "RequestResult",
    "SimulatedEngine",
    "SimulatedFault",
    "Simulation",
    "SimulationSettings",
    "Traffic",
    "TrafficProfile",
    "main",
]
