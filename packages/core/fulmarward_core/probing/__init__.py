"""Evaluation of probe rounds: which targets are unreachable, compared with controls."""

from fulmarward_core.probing.decisions import (
    CONFIRM_TIMEOUT_S,
    PROBE_CALLS,
    PROBE_TIMEOUT_S,
    ProbeRound,
    ProbeVerdict,
    choose_controls,
    count_calls,
    count_controls,
    evaluate_round,
)

__all__ = [
    "CONFIRM_TIMEOUT_S",
    "PROBE_CALLS",
    "PROBE_TIMEOUT_S",
    "ProbeRound",
    "ProbeVerdict",
    "choose_controls",
    "count_calls",
    "count_controls",
    "evaluate_round",
]
