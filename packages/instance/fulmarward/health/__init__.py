"""Target health: leaving targets, operators' drains, and gossip about both."""

from fulmarward.health._drains import change_drain, read_drains, watch_drains
from fulmarward.health._gossip import (
    answer_leaving,
    answer_leaving_sync,
    answer_summaries,
    run_gossip,
)
from fulmarward.health._leaving import (
    merge_records,
    note_list,
    note_placement,
    note_refusal,
    note_report,
    update_leaving_view,
)
from fulmarward.health._summaries import run_summaries

__all__ = [
    "answer_summaries",
    "answer_leaving",
    "answer_leaving_sync",
    "change_drain",
    "merge_records",
    "note_list",
    "note_placement",
    "note_refusal",
    "note_report",
    "read_drains",
    "run_gossip",
    "run_summaries",
    "update_leaving_view",
    "watch_drains",
]
