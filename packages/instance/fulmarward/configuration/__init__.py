"""Applying declarations and adopting them, from the platform or from peers."""

from fulmarward.configuration._adopt import answer_body, answer_head, run_adoption
from fulmarward.configuration._apply import (
    Applied,
    ApplyRequest,
    apply_declaration,
    read_history,
)

__all__ = [
    "Applied",
    "ApplyRequest",
    "answer_body",
    "answer_head",
    "apply_declaration",
    "read_history",
    "run_adoption",
]
