"""Executing requests: from an accepted call to the end of its answer."""

from fulmarward.requests._execute import Confirm, run_completion
from fulmarward.requests._work import Work, make_request_id

__all__ = ["Confirm", "Work", "make_request_id", "run_completion"]
