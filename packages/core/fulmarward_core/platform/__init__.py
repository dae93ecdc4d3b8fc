"""Rate limit and circuit breaker for the calls of an instance to the platform."""

from fulmarward_core.platform._types import (
    Bucket,
    CallKind,
    Circuit,
    Gate,
    Refused,
    Wait,
)
from fulmarward_core.platform.decisions import admit_call, note_failure, note_success

__all__ = [
    "Bucket",
    "CallKind",
    "Circuit",
    "Gate",
    "Refused",
    "Wait",
    "admit_call",
    "note_failure",
    "note_success",
]
