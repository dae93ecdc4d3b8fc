"""Numbered result codes, and failures that carry them."""

from fulmarward_core.results._codes import (
    CODES,
    CodeEntry,
    ExecutionState,
    ResultCode,
    render_codes_page,
)
from fulmarward_core.results._outcomes import Failure, make_failure

__all__ = [
    "CODES",
    "CodeEntry",
    "Failure",
    "ExecutionState",
    "ResultCode",
    "make_failure",
    "render_codes_page",
]
