"""Handles callers' requests, from arrival to the final response."""

from fulmarward_router.exchange._context import ServiceContext
from fulmarward_router.exchange._engines import EngineService
from fulmarward_router.exchange._failure_detector import FailureDetector
from fulmarward_router.exchange._front import CallerFront, CallerServer
from fulmarward_router.exchange._occupancy import OccupancyReader
from fulmarward_router.exchange._paces import PaceWatch
from fulmarward_router.exchange._plain import PlainService
from fulmarward_router.exchange._send import TargetClient, make_target_session
from fulmarward_router.exchange._work import Work

__all__ = [
    "CallerFront",
    "CallerServer",
    "EngineService",
    "FailureDetector",
    "OccupancyReader",
    "PaceWatch",
    "PlainService",
    "ServiceContext",
    "TargetClient",
    "Work",
    "make_target_session",
]
