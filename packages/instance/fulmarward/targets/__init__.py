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
from fulmarward.targets._steps import (
    StepDone,
    StepOrder,
    StepRefused,
    close_steps,
    export_cache,
    import_cache,
    read_steps,
    run_step,
)
from fulmarward.targets._watch import follow_targets, update_views

__all__ = [
    "EngineStream",
    "ServiceAnswer",
    "ServiceOrder",
    "ServiceRefused",
    "ServiceUncertain",
    "StepDone",
    "StepOrder",
    "StepRefused",
    "StreamBroken",
    "StreamOrder",
    "StreamRefused",
    "StreamUnknown",
    "call_service",
    "cancel_stream",
    "close_steps",
    "export_cache",
    "follow_targets",
    "import_cache",
    "open_stream",
    "read_events",
    "read_load",
    "read_steps",
    "resume_stream",
    "run_step",
    "update_views",
]
