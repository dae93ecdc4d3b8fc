"""Leases in the platform's table: one holder per pool, with a fencing number."""

from fulmarward_core.leases._rows import read_lease
from fulmarward_core.leases._types import (
    ABSENT_LEASE,
    UNKNOWN_LEASE,
    Lease,
    LeaseEvent,
    LeaseRead,
    LeaseState,
    LeaseTerms,
    LeaseWritten,
    Phase,
    ReplyLost,
    StoreUnavailable,
)
from fulmarward_core.leases.decisions import (
    Step,
    StepKind,
    abandon_lease,
    apply_event,
    choose_step,
    may_order,
    may_order_in_outage,
    record_write,
    update_store_state,
)

__all__ = [
    "ABSENT_LEASE",
    "Lease",
    "LeaseEvent",
    "LeaseRead",
    "LeaseState",
    "LeaseTerms",
    "LeaseWritten",
    "Phase",
    "ReplyLost",
    "Step",
    "StepKind",
    "StoreUnavailable",
    "UNKNOWN_LEASE",
    "read_lease",
    "choose_step",
    "abandon_lease",
    "may_order",
    "may_order_in_outage",
    "record_write",
    "apply_event",
    "update_store_state",
]
