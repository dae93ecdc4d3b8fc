"""The tasks that keep the member table fresh."""

from fulmarward.membership._heartbeats import (
    answer_ping,
    answer_sync,
    hear_of,
    run_membership,
)

__all__ = ["answer_ping", "answer_sync", "hear_of", "run_membership"]
