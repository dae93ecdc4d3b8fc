"""Restarts of background tasks that ended although they should run on."""

from fulmarward_core.supervision.decisions import (
    DutyFailures,
    RestartTerms,
    compute_pause_s,
    must_log,
    record_failure,
    record_logged,
)

__all__ = [
    "DutyFailures",
    "RestartTerms",
    "compute_pause_s",
    "must_log",
    "record_failure",
    "record_logged",
]
