"""Clients for engines and plain services, and the tasks that monitor targets."""

from fulmarward.targets._engine import (
    EngineStream,
    StreamBroken,
    StreamRefused,
    StreamRequest,
    StreamUnknown,
    cancel_stream,
    open_stream,
    read_events,
    resume_stream,
)
from fulmarward.targets._orders import (
    OrderAccepted,
    OrderRefused,
    read_held,
    send_order,
)
from fulmarward.targets._prefixes import PREFIX_TOKENS, hash_prefixes
from fulmarward.targets._reports import (
    CacheEvents,
    EngineReport,
    read_cache_events,
    read_load,
)
from fulmarward.targets._service import (
    ServiceAnswer,
    ServiceRefused,
    ServiceRequest,
    ServiceUncertain,
    call_service,
)
from fulmarward.targets._steps import (
    StepDone,
    StepRefused,
    StepRequest,
    close_steps,
    export_cache,
    import_cache,
    read_steps,
    run_step,
)
from fulmarward.targets._watch import find_view, follow_targets, update_views

__all__ = [
    "PREFIX_TOKENS",
    "CacheEvents",
    "EngineReport",
    "EngineStream",
    "OrderRefused",
    "OrderAccepted",
    "ServiceAnswer",
    "ServiceRequest",
    "ServiceRefused",
    "ServiceUncertain",
    "StepDone",
    "StepRequest",
    "StepRefused",
    "StreamBroken",
    "StreamRequest",
    "StreamRefused",
    "StreamUnknown",
    "call_service",
    "cancel_stream",
    "close_steps",
    "export_cache",
    "find_view",
    "follow_targets",
    "import_cache",
    "hash_prefixes",
    "open_stream",
    "read_cache_events",
    "read_events",
    "read_held",
    "read_load",
    "read_steps",
    "resume_stream",
    "run_step",
    "send_order",
    "update_views",
]
