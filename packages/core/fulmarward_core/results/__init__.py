"""Numbered result codes and the outcomes that carry them."""

from fulmarward_core.results._codes import (
    CODES,
    CodeEntry,
    Ran,
    ResultCode,
    render_codes_page,
)
from fulmarward_core.results._outcomes import Failure, make_failure

__all__ = [
    "CODES",
    "CodeEntry",
    "Failure",
    "Ran",
    "ResultCode",
    "make_failure",
    "render_codes_page",
]
