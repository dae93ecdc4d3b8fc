"""Applies declarations, and adopts them from the platform or from peers."""

from fulmarward.configuration._adopt import (
    answer_head,
    confirm_newest,
    run_adoption,
)
from fulmarward.configuration._apply import Applied, ApplyRequest, apply_declaration
from fulmarward.configuration._bodies import answer_body
from fulmarward.configuration._history import (
    fetch_declaration,
    read_epoch,
    read_history,
    show_declaration,
)
from fulmarward.configuration._readiness import run_readiness

__all__ = [
    "Applied",
    "ApplyRequest",
    "answer_body",
    "answer_head",
    "apply_declaration",
    "confirm_newest",
    "fetch_declaration",
    "read_epoch",
    "read_history",
    "run_adoption",
    "run_readiness",
    "show_declaration",
]
