"""Placement: the lease holder of a pool orders what its engines load."""

from fulmarward.placement._outcomes import count_attempt, count_chain
from fulmarward.placement._peer_queries import answer_in_flight, answer_outcomes
from fulmarward.placement._run import run_placement
from fulmarward.placement._status import read_placement

__all__ = [
    "answer_in_flight",
    "answer_outcomes",
    "count_attempt",
    "count_chain",
    "read_placement",
    "run_placement",
]
