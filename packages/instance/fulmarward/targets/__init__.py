"""Targets: engines and plain services, and the tasks that watch them."""

from fulmarward.targets._engine import (
    EngineStream,
    StreamBroken,
    StreamOrder,
    StreamRefused,
    StreamUnknown,
    cancel_stream,
    open_stream,
    read_events,
    read_load,
    resume_stream,
)
from fulmarward.targets._service import (
    ServiceAnswer,
    ServiceOrder,
    ServiceRefused,
    ServiceUncertain,
    call_service,
)
from fulmarward.targets._watch import follow_targets, update_views

__all__ = [
    "EngineStream",
    "ServiceAnswer",
    "ServiceOrder",
    "ServiceRefused",
    "ServiceUncertain",
    "StreamBroken",
    "StreamOrder",
    "StreamRefused",
    "StreamUnknown",
    "call_service",
    "cancel_stream",
    "follow_targets",
    "open_stream",
    "read_events",
    "read_load",
    "resume_stream",
    "update_views",
]
