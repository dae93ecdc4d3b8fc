"""Execution of accepted requests: admission, routing, attempts and retries."""

from fulmarward.requests._admit import run_admission
from fulmarward.requests._call import ServiceCall, run_call, track_call
from fulmarward.requests._completion_request import CompletionRequest, make_request_id
from fulmarward.requests._execute import ConfirmDispatch, run_completion
from fulmarward.requests._locate import make_locator, make_reader_name
from fulmarward.requests._resume import run_resumed

__all__ = [
    "ServiceCall",
    "ConfirmDispatch",
    "CompletionRequest",
    "track_call",
    "make_locator",
    "make_request_id",
    "make_reader_name",
    "run_admission",
    "run_call",
    "run_completion",
    "run_resumed",
]
