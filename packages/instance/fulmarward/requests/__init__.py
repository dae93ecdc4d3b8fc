"""Executing requests: from an accepted call to the end of its answer."""

from fulmarward.requests._execute import Confirm, run_completion
from fulmarward.requests._locate import make_locator, name_reader
from fulmarward.requests._resume import run_resumed
from fulmarward.requests._work import Work, make_request_id

__all__ = [
    "Confirm",
    "Work",
    "make_locator",
    "make_request_id",
    "name_reader",
    "run_completion",
    "run_resumed",
]
