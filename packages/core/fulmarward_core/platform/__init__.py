"""Rate limit and circuit breaker for the calls of an instance to the platform."""

from fulmarward_core.platform._types import (
    Admitted,
    Bucket,
    CallKind,
    CallLimiter,
    CircuitState,
    Rejected,
)
from fulmarward_core.platform.decisions import (
    admit_call,
    record_failure,
    record_success,
)

__all__ = [
    "Bucket",
    "CallKind",
    "CircuitState",
    "CallLimiter",
    "Rejected",
    "Admitted",
    "admit_call",
    "record_failure",
    "record_success",
]
