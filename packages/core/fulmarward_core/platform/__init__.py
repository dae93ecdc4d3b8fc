"""How much one instance may ask of the platform, and when it leaves it in peace."""

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
