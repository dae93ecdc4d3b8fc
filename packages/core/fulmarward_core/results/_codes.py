"""The table of result codes: a number for each result that callers can receive.

The thousands digit gives the category. 1: the caller has to correct the request;
2: the caller retries later (nothing was executed); 3: the request was executed;
4: it is unknown whether it was executed; 5: the operator has to act.
docs/RESULT-CODES.md is rendered from this table, which a test checks.
"""

from dataclasses import dataclass
from enum import Enum, IntEnum


class ExecutionState(Enum):
    """Whether a request was executed, as far as the reporting instance knows."""

    #: No part of the request was executed; a retry is safe.
    NOT_RUN = "not_run"
    #: The request was executed at least partly and failed.
    FAILED = "failed"
    #: The request was executed completely.
    COMPLETE = "complete"
    #: It cannot be known whether the request was executed.
    UNKNOWN = "unknown"


class ResultCode(IntEnum):
    """Result codes; the numbers and names are sent to callers."""

    OK = 0
    BODY_MALFORMED = 1001
    BODY_TOO_LARGE = 1002
    PIPELINE_UNKNOWN = 1003
    TEAM_KEY_WRONG = 1004
    NOT_ALLOWED = 1005
    SERVICE_UNKNOWN = 1006
    IDEMPOTENCY_KEY_REUSED = 1007
    HEADER_MALFORMED = 1008
    EVENT_ID_WRONG = 1009
    BODY_TOO_SLOW = 1010
    PATH_UNKNOWN = 1011
    HEADERS_TOO_LARGE = 1012
    PROMPT_BLOCKED = 1013
    REQUEST_BLOCKED = 1014
    OVER_SHARE = 2001
    QUEUE_FULL = 2002
    DEADLINE_TOO_NEAR = 2003
    NO_TARGET = 2004
    NOT_READY = 2005
    STOPPING = 2006
    WITNESS_UNREACHABLE = 2007
    KEY_CLOSED = 2008
    STORE_UNAVAILABLE = 2009
    TARGET_REFUSED = 2010
    TARGET_UNREACHABLE = 2011
    STILL_RUNNING = 2012
    KEY_NOT_ASKED = 2013
    PROMPT_SUSPENDED = 2014
    TARGET_FAILED = 3001
    ALREADY_RAN = 3002
    DEADLINE_PASSED = 3003
    STREAM_LOST = 3004
    PROMPT_CRASHED = 3005
    REQUEST_CRASHED = 3006
    OUTCOME_UNKNOWN = 4001
    INSTANCE_STOPPED = 4002
    ABANDONED = 4003
    OPERATOR_KEY_WRONG = 5001
    DECLARATION_INVALID = 5002
    APPLY_CONFLICT = 5003
    APPLY_UNKNOWN = 5004
    NOT_CONFIRMED = 5005
    USAGE = 5006
    SETTINGS_INVALID = 5007
    INSTANCE_UNREACHABLE = 5008
    NOT_FOUND = 5009
    DRAIN_UNKNOWN = 5020


@dataclass(frozen=True, kw_only=True)
class CodeEntry:
    """Meaning of a result code for HTTP callers, command lines and people."""

    #: HTTP status of responses with the code.
    status: int
    #: The `type` member of the error object, as client libraries expect it.
    type: str
    ran: ExecutionState
    #: Exit status of the commands `fulmarctl` and `fulmarward`.
    exit_status: int
    #: A sentence for callers and operators.
    meaning: str


def _make_entry(
    status: int, error_type: str, ran: ExecutionState, exit_status: int, meaning: str
) -> CodeEntry:
    return CodeEntry(
        status=status,
        type=error_type,
        ran=ran,
        exit_status=exit_status,
        meaning=meaning,
    )


_INVALID = "invalid_request_error"
_BUSY = "overloaded_error"
_SERVER = "server_error"
_OPERATOR = "operator_error"
_NOT_RUN, _FAILED, _DONE, _UNKNOWN = (
    ExecutionState.NOT_RUN,
    ExecutionState.FAILED,
    ExecutionState.COMPLETE,
    ExecutionState.UNKNOWN,
)

#: The entries of all result codes.
CODES: dict[ResultCode, CodeEntry] = {
    ResultCode.OK: _make_entry(200, "", _DONE, 0, "All is well."),
    ResultCode.BODY_MALFORMED: _make_entry(
        400, _INVALID, _NOT_RUN, 10, "The body is not what the call takes."
    ),
    ResultCode.BODY_TOO_LARGE: _make_entry(
        413, _INVALID, _NOT_RUN, 10, "The body is larger than the instance takes."
    ),
    ResultCode.PIPELINE_UNKNOWN: _make_entry(
        404, _INVALID, _NOT_RUN, 10, "No pipeline of that name is declared."
    ),
    ResultCode.TEAM_KEY_WRONG: _make_entry(
        401, "authentication_error", _NOT_RUN, 11, "The team key is missing or wrong."
    ),
    ResultCode.NOT_ALLOWED: _make_entry(
        403, "permission_error", _NOT_RUN, 11, "The team may not use this."
    ),
    ResultCode.SERVICE_UNKNOWN: _make_entry(
        404, _INVALID, _NOT_RUN, 10, "No service of that name is declared."
    ),
    ResultCode.IDEMPOTENCY_KEY_REUSED: _make_entry(
        422,
        _INVALID,
        _NOT_RUN,
        10,
        "The idempotency key came before with another body.",
    ),
    ResultCode.HEADER_MALFORMED: _make_entry(
        400, _INVALID, _NOT_RUN, 10, "A header has a value that cannot be used."
    ),
    ResultCode.EVENT_ID_WRONG: _make_entry(
        400, _INVALID, _NOT_RUN, 10, "Last-Event-ID names no stream of this team."
    ),
    ResultCode.BODY_TOO_SLOW: _make_entry(
        408, _INVALID, _NOT_RUN, 10, "The body did not arrive in time."
    ),
    ResultCode.PATH_UNKNOWN: _make_entry(
        404, _INVALID, _NOT_RUN, 10, "No such path, or not with this method."
    ),
    ResultCode.HEADERS_TOO_LARGE: _make_entry(
        431, _INVALID, _NOT_RUN, 10, "The headers are larger than the instance takes."
    ),
    ResultCode.PROMPT_BLOCKED: _make_entry(
        400, _INVALID, _NOT_RUN, 10, "A part of the prompt crashes targets."
    ),
    ResultCode.REQUEST_BLOCKED: _make_entry(
        400, _INVALID, _NOT_RUN, 10, "The request crashes targets."
    ),
    ResultCode.OVER_SHARE: _make_entry(
        429, "rate_limit_error", _NOT_RUN, 20, "The team is over the share it was sold."
    ),
    ResultCode.QUEUE_FULL: _make_entry(
        429, _BUSY, _NOT_RUN, 20, "The wait would be longer than the queue allows."
    ),
    ResultCode.DEADLINE_TOO_NEAR: _make_entry(
        503, _BUSY, _NOT_RUN, 20, "The answer could not be ready before the deadline."
    ),
    ResultCode.NO_TARGET: _make_entry(
        503, _BUSY, _NOT_RUN, 20, "No target that can serve this takes work now."
    ),
    ResultCode.NOT_READY: _make_entry(
        503, _BUSY, _NOT_RUN, 20, "The instance does not yet know the configuration."
    ),
    ResultCode.STOPPING: _make_entry(
        503, _BUSY, _NOT_RUN, 20, "The instance is stopping; use another address."
    ),
    ResultCode.WITNESS_UNREACHABLE: _make_entry(
        503,
        _BUSY,
        _NOT_RUN,
        20,
        "The record of the key could not be kept; take a new key.",
    ),
    ResultCode.KEY_CLOSED: _make_entry(
        409,
        _BUSY,
        _NOT_RUN,
        20,
        "The key was closed before its request ran; take a new.",
    ),
    ResultCode.STORE_UNAVAILABLE: _make_entry(
        503,
        _BUSY,
        _NOT_RUN,
        20,
        "The platform's service is needed for this and is out.",
    ),
    ResultCode.TARGET_REFUSED: _make_entry(
        503, _BUSY, _NOT_RUN, 20, "The target refused the request before it began."
    ),
    ResultCode.TARGET_UNREACHABLE: _make_entry(
        503, _BUSY, _NOT_RUN, 20, "No connection to a target could be made."
    ),
    ResultCode.STILL_RUNNING: _make_entry(
        409, _BUSY, _UNKNOWN, 20, "The key's request is running; come back for it."
    ),
    ResultCode.KEY_NOT_ASKED: _make_entry(
        503, _BUSY, _UNKNOWN, 20, "Not taken here now; come again with the same key."
    ),
    ResultCode.PROMPT_SUSPENDED: _make_entry(
        503, _BUSY, _NOT_RUN, 20, "A part of the prompt may crash targets."
    ),
    ResultCode.TARGET_FAILED: _make_entry(
        502, _SERVER, _FAILED, 30, "The target began the request and failed."
    ),
    ResultCode.ALREADY_RAN: _make_entry(
        409, _SERVER, _DONE, 30, "The key's request ran; its answer is not kept."
    ),
    ResultCode.DEADLINE_PASSED: _make_entry(
        504, _SERVER, _FAILED, 30, "The deadline passed while the request ran."
    ),
    ResultCode.STREAM_LOST: _make_entry(
        502, _SERVER, _FAILED, 30, "The stream broke and cannot be resumed."
    ),
    ResultCode.PROMPT_CRASHED: _make_entry(
        400, _INVALID, _FAILED, 30, "The prompt crashed a target; do not repeat it."
    ),
    ResultCode.REQUEST_CRASHED: _make_entry(
        400, _INVALID, _FAILED, 30, "The request crashed a target; do not repeat it."
    ),
    ResultCode.OUTCOME_UNKNOWN: _make_entry(
        502, _SERVER, _UNKNOWN, 40, "It cannot be known whether the request ran."
    ),
    ResultCode.INSTANCE_STOPPED: _make_entry(
        503, _SERVER, _UNKNOWN, 40, "The instance ended first; go on at another."
    ),
    ResultCode.ABANDONED: _make_entry(
        409, _SERVER, _UNKNOWN, 40, "Its caller went away, so that it was cancelled."
    ),
    ResultCode.OPERATOR_KEY_WRONG: _make_entry(
        401, "authentication_error", _NOT_RUN, 11, "The operator token is wrong."
    ),
    ResultCode.DECLARATION_INVALID: _make_entry(
        422,
        _OPERATOR,
        _NOT_RUN,
        50,
        "The declaration has faults; none of it is applied.",
    ),
    ResultCode.APPLY_CONFLICT: _make_entry(
        409, _OPERATOR, _NOT_RUN, 51, "Another operator's file was applied first."
    ),
    ResultCode.APPLY_UNKNOWN: _make_entry(
        503, _OPERATOR, _UNKNOWN, 52, "It cannot be known whether the file applies."
    ),
    ResultCode.NOT_CONFIRMED: _make_entry(
        504, _OPERATOR, _DONE, 53, "Applied, but not confirmed by every instance."
    ),
    ResultCode.USAGE: _make_entry(
        400, _OPERATOR, _NOT_RUN, 2, "The command line is not understood."
    ),
    ResultCode.SETTINGS_INVALID: _make_entry(
        400, _OPERATOR, _NOT_RUN, 3, "The settings have faults; nothing was started."
    ),
    ResultCode.INSTANCE_UNREACHABLE: _make_entry(
        503, _OPERATOR, _UNKNOWN, 54, "No instance answered the operator's client."
    ),
    ResultCode.NOT_FOUND: _make_entry(
        404, _OPERATOR, _NOT_RUN, 55, "There is no such thing."
    ),
    ResultCode.DRAIN_UNKNOWN: _make_entry(
        503, _OPERATOR, _UNKNOWN, 56, "It cannot be known whether the drain stands."
    ),
}


def render_codes_page() -> str:
    """Return the content of docs/RESULT-CODES.md."""
    lines = [
        "# Result codes",
        "",
        "Rendered from `fulmarward_core.results` by `scripts/render-codes`.",
        "",
        "| result | name | HTTP | type | ran | exit | meaning |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    lines += [
        f"| {code.value} | {code.name} | {entry.status} | {entry.type} "
        f"| {entry.ran.value} | {entry.exit_status} | {entry.meaning} |"
        for code, entry in CODES.items()
    ]
    return "\n".join(lines) + "\n"
