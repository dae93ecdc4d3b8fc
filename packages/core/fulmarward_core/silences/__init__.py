"""Which of the targets that were asked are lost, by who answered beside them."""

from fulmarward_core.silences.decisions import (
    CONFIRM_S,
    PROBE_S,
    AskedRound,
    Finding,
    choose_witnesses,
    count_witnesses,
    judge_round,
)

__all__ = [
    "CONFIRM_S",
    "PROBE_S",
    "AskedRound",
    "Finding",
    "choose_witnesses",
    "count_witnesses",
    "judge_round",
]
