"""Which requests are taken, in what order they run, and what refused ones are told."""

from fulmarward_core.admission._types import (
    Bucket,
    DemandRow,
    DemandTable,
    FairQueue,
    Outputs,
    Refusal,
    TeamDemand,
    Ticket,
)
from fulmarward_core.admission.decisions._buckets import (
    make_bucket,
    promise_tokens,
    refill_bucket,
    resize_bucket,
    settle_tokens,
    split_share,
    take_tokens,
)
from fulmarward_core.admission.decisions._demand import (
    average_demand,
    count_demand,
    forget_rows,
    list_others,
    make_own_row,
    merge_row,
    select_rows,
)
from fulmarward_core.admission.decisions._estimates import (
    admit_ticket,
    doubt_output,
    estimate_wait_s,
    expect_output,
    note_output,
)
from fulmarward_core.admission.decisions._queue import (
    drop_late,
    estimate_ahead_s,
    pop_ticket,
    push_ticket,
    remove_ticket,
)

__all__ = [
    "Bucket",
    "DemandRow",
    "DemandTable",
    "FairQueue",
    "Outputs",
    "Refusal",
    "TeamDemand",
    "Ticket",
    "admit_ticket",
    "average_demand",
    "count_demand",
    "doubt_output",
    "drop_late",
    "estimate_ahead_s",
    "estimate_wait_s",
    "expect_output",
    "forget_rows",
    "list_others",
    "make_bucket",
    "make_own_row",
    "merge_row",
    "note_output",
    "pop_ticket",
    "promise_tokens",
    "push_ticket",
    "refill_bucket",
    "remove_ticket",
    "resize_bucket",
    "select_rows",
    "settle_tokens",
    "split_share",
    "take_tokens",
]
