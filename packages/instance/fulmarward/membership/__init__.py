"""Failure detection and dissemination of the member table between instances."""

from fulmarward.membership._heartbeats import answer_probe, run_membership
from fulmarward.membership._updates import (
    announce_leaving,
    answer_members,
    answer_ping,
    answer_sync,
    merge_rumours,
)

__all__ = [
    "announce_leaving",
    "answer_members",
    "answer_ping",
    "answer_probe",
    "answer_sync",
    "merge_rumours",
    "run_membership",
]
