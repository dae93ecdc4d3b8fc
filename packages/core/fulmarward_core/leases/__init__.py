"""Leases in the platform's table: one holder per pool, with a fencing token."""

from fulmarward_core.leases._types import (
    ABSENT_LEASE,
    Lease,
    LeaseEvent,
    LeaseRead,
    LeaseState,
    LeaseTerms,
    LeaseWritten,
    Phase,
    ReplyLost,
    StoreOut,
)
from fulmarward_core.leases.decisions import (
    Step,
    StepKind,
    choose_step,
    drop_hold,
    may_order,
    may_order_in_outage,
    note_asking,
    take_event,
    take_store_state,
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
    "StoreOut",
    "choose_step",
    "drop_hold",
    "may_order",
    "may_order_in_outage",
    "note_asking",
    "take_event",
    "take_store_state",
]
