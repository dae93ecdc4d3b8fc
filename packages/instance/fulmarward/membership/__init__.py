"""Failure detection and dissemination of the member table between instances."""

from fulmarward.membership._hearing import (
    announce_leaving,
    answer_members,
    answer_ping,
    answer_sync,
    hear_of,
)
from fulmarward.membership._heartbeats import answer_probe, run_membership

__all__ = [
    "announce_leaving",
    "answer_members",
    "answer_ping",
    "answer_probe",
    "answer_sync",
    "hear_of",
    "run_membership",
]
