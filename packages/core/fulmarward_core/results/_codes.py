"""The table of result codes: one number for each thing a caller can be told.

The thousands say who has to act: 1 the caller mends its request, 2 the caller
comes back later (nothing ran), 3 the request ran, 4 nobody can tell, 5 the
operator. docs/RESULT-CODES.md is rendered from this table and checked in a test.
"""

from dataclasses import dataclass
from enum import Enum, IntEnum


class Ran(Enum):
    """Whether a request was executed, as far as the one who tells can know."""

    #: Nothing of the request was executed; it is safe to repeat.
    NOT_RUN = "not_run"
    #: The request was executed at least in part and did not end well.
    FAILED = "failed"
    #: The request was executed to its end.
    COMPLETE = "complete"
    #: It cannot be known whether the request was executed.
    UNKNOWN = "unknown"


class ResultCode(IntEnum):
    """The numbers themselves."""

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
    TARGET_FAILED = 3001
    ALREADY_RAN = 3002
    DEADLINE_PASSED = 3003
    STREAM_LOST = 3004
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
    """What a result code means to each reader of it."""

    #: HTTP status of the answer that carries the code.
    status: int
    #: The `type` member of the error object, as callers' libraries know it.
    type: str
    #: Whether the request was executed.
    ran: Ran
    #: Exit status of `fulmarctl` and `fulmarward`.
    exit_status: int
    #: One sentence for callers and operators.
    meaning: str


def _entry(
    status: int, error_type: str, ran: Ran, exit_status: int, meaning: str
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
_NOT, _FAILED, _DONE, _UNKNOWN = (
    Ran.NOT_RUN,
    Ran.FAILED,
    Ran.COMPLETE,
    Ran.UNKNOWN,
)

#: Every code with its meaning.
CODES: dict[ResultCode, CodeEntry] = {
    ResultCode.OK: _entry(200, "", _DONE, 0, "All is well."),
    ResultCode.BODY_MALFORMED: _entry(
        400, _INVALID, _NOT, 10, "The body is not what the call takes."
    ),
    ResultCode.BODY_TOO_LARGE: _entry(
        413, _INVALID, _NOT, 10, "The body is larger than the instance takes."
    ),
    ResultCode.PIPELINE_UNKNOWN: _entry(
        404, _INVALID, _NOT, 10, "No pipeline of that name is declared."
    ),
    ResultCode.TEAM_KEY_WRONG: _entry(
        401, "authentication_error", _NOT, 11, "The team key is missing or wrong."
    ),
    ResultCode.NOT_ALLOWED: _entry(
        403, "permission_error", _NOT, 11, "The team may not use this."
    ),
    ResultCode.SERVICE_UNKNOWN: _entry(
        404, _INVALID, _NOT, 10, "No service of that name is declared."
    ),
    ResultCode.IDEMPOTENCY_KEY_REUSED: _entry(
        422, _INVALID, _NOT, 10, "The idempotency key came before with another body."
    ),
    ResultCode.HEADER_MALFORMED: _entry(
        400, _INVALID, _NOT, 10, "A header has a value that cannot be used."
    ),
    ResultCode.EVENT_ID_WRONG: _entry(
        400, _INVALID, _NOT, 10, "Last-Event-ID names no stream of this team."
    ),
    ResultCode.BODY_TOO_SLOW: _entry(
        408, _INVALID, _NOT, 10, "The body did not arrive in time."
    ),
    ResultCode.PATH_UNKNOWN: _entry(
        404, _INVALID, _NOT, 10, "No such path, or not with this method."
    ),
    ResultCode.HEADERS_TOO_LARGE: _entry(
        431, _INVALID, _NOT, 10, "The headers are larger than the instance takes."
    ),
    ResultCode.OVER_SHARE: _entry(
        429, "rate_limit_error", _NOT, 20, "The team is over the share it was sold."
    ),
    ResultCode.QUEUE_FULL: _entry(
        429, _BUSY, _NOT, 20, "The wait would be longer than the queue allows."
    ),
    ResultCode.DEADLINE_TOO_NEAR: _entry(
        503, _BUSY, _NOT, 20, "The answer could not be ready before the deadline."
    ),
    ResultCode.NO_TARGET: _entry(
        503, _BUSY, _NOT, 20, "No target that can serve this takes work now."
    ),
    ResultCode.NOT_READY: _entry(
        503, _BUSY, _NOT, 20, "The instance does not yet know the configuration."
    ),
    ResultCode.STOPPING: _entry(
        503, _BUSY, _NOT, 20, "The instance is stopping; use another address."
    ),
    ResultCode.WITNESS_UNREACHABLE: _entry(
        503, _BUSY, _NOT, 20, "The record of the key could not be kept; take a new key."
    ),
    ResultCode.KEY_CLOSED: _entry(
        409, _BUSY, _NOT, 20, "The key was closed before its request ran; take a new."
    ),
    ResultCode.STORE_UNAVAILABLE: _entry(
        503, _BUSY, _NOT, 20, "The platform's service is needed for this and is out."
    ),
    ResultCode.TARGET_REFUSED: _entry(
        503, _BUSY, _NOT, 20, "The target refused the request before it began."
    ),
    ResultCode.TARGET_UNREACHABLE: _entry(
        503, _BUSY, _NOT, 20, "No connection to a target could be made."
    ),
    ResultCode.STILL_RUNNING: _entry(
        409, _BUSY, _UNKNOWN, 20, "The key's request is running; come back for it."
    ),
    ResultCode.KEY_NOT_ASKED: _entry(
        503, _BUSY, _UNKNOWN, 20, "Not taken here now; come again with the same key."
    ),
    ResultCode.TARGET_FAILED: _entry(
        502, _SERVER, _FAILED, 30, "The target began the request and failed."
    ),
    ResultCode.ALREADY_RAN: _entry(
        409, _SERVER, _DONE, 30, "The key's request ran; its answer is not kept."
    ),
    ResultCode.DEADLINE_PASSED: _entry(
        504, _SERVER, _FAILED, 30, "The deadline passed while the request ran."
    ),
    ResultCode.STREAM_LOST: _entry(
        502, _SERVER, _FAILED, 30, "The stream broke and cannot be resumed."
    ),
    ResultCode.OUTCOME_UNKNOWN: _entry(
        502, _SERVER, _UNKNOWN, 40, "It cannot be known whether the request ran."
    ),
    ResultCode.INSTANCE_STOPPED: _entry(
        503, _SERVER, _UNKNOWN, 40, "The instance ended first; go on at another."
    ),
    ResultCode.ABANDONED: _entry(
        409, _SERVER, _UNKNOWN, 40, "Its caller went away, so that it was cancelled."
    ),
    ResultCode.OPERATOR_KEY_WRONG: _entry(
        401, "authentication_error", _NOT, 11, "The operator token is wrong."
    ),
    ResultCode.DECLARATION_INVALID: _entry(
        422, _OPERATOR, _NOT, 50, "The declaration has faults; none of it is applied."
    ),
    ResultCode.APPLY_CONFLICT: _entry(
        409, _OPERATOR, _NOT, 51, "Another operator's file was applied first."
    ),
    ResultCode.APPLY_UNKNOWN: _entry(
        503, _OPERATOR, _UNKNOWN, 52, "It cannot be known whether the file applies."
    ),
    ResultCode.NOT_CONFIRMED: _entry(
        504, _OPERATOR, _DONE, 53, "Applied, but not confirmed by every instance."
    ),
    ResultCode.USAGE: _entry(
        400, _OPERATOR, _NOT, 2, "The command line is not understood."
    ),
    ResultCode.SETTINGS_INVALID: _entry(
        400, _OPERATOR, _NOT, 3, "The settings have faults; nothing was started."
    ),
    ResultCode.INSTANCE_UNREACHABLE: _entry(
        503, _OPERATOR, _UNKNOWN, 54, "No instance answered the operator's client."
    ),
    ResultCode.NOT_FOUND: _entry(404, _OPERATOR, _NOT, 55, "There is no such thing."),
    ResultCode.DRAIN_UNKNOWN: _entry(
        503, _OPERATOR, _UNKNOWN, 56, "It cannot be known whether the drain stands."
    ),
}


def render_codes_page() -> str:
    """Return docs/RESULT-CODES.md as it should read."""
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
