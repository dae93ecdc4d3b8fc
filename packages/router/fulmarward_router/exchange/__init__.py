"""Handles callers' requests, from arrival to the final response."""

from fulmarward_router.exchange._caller_handler import CallerHandler, CallerServer
from fulmarward_router.exchange._context import ServiceContext
from fulmarward_router.exchange._crash_monitor import CrashMonitor
from fulmarward_router.exchange._engines import EngineService
from fulmarward_router.exchange._failure_detector import FailureDetector
from fulmarward_router.exchange._forwarding import StreamForwarder
from fulmarward_router.exchange._occupancy import OccupancyReader
from fulmarward_router.exchange._paces import PaceMonitor
from fulmarward_router.exchange._plain import PlainService
from fulmarward_router.exchange._relay import PeerRelay
from fulmarward_router.exchange._request_state import RequestState
from fulmarward_router.exchange._send import TargetClient, make_target_session
from fulmarward_router.exchange._stop_gate import StopGate

__all__ = [
    "CallerHandler",
    "CallerServer",
    "CrashMonitor",
    "EngineService",
    "FailureDetector",
    "OccupancyReader",
    "PaceMonitor",
    "PeerRelay",
    "PlainService",
    "ServiceContext",
    "StopGate",
    "StreamForwarder",
    "TargetClient",
    "RequestState",
    "make_target_session",
]
