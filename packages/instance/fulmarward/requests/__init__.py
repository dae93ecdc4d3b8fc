"""Execution of accepted requests: admission, routing, attempts and retries."""

from fulmarward.requests._admit import run_admission
from fulmarward.requests._call import Call, hold_call, run_call
from fulmarward.requests._execute import Confirm, run_completion
from fulmarward.requests._locate import make_locator, name_reader
from fulmarward.requests._resume import run_resumed
from fulmarward.requests._work import Work, make_request_id

__all__ = [
    "Call",
    "Confirm",
    "Work",
    "hold_call",
    "make_locator",
    "make_request_id",
    "name_reader",
    "run_admission",
    "run_call",
    "run_completion",
    "run_resumed",
]
