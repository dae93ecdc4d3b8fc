"""Executing requests: from an accepted call to the end of its answer."""

from fulmarward.requests._admit import run_admission
from fulmarward.requests._execute import run_completion
from fulmarward.requests._resume import run_resumed
from fulmarward.requests._work import Work

__all__ = ["Work", "run_admission", "run_completion", "run_resumed"]
