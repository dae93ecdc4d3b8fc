"""Request and response headers of the callers' interface."""

from aiohttp import web

from fulmarward.callers._errors import CallerError
from fulmarward_core.declaration import Urgency
from fulmarward_core.results import ResultCode, make_failure

#: Milliseconds within which the answer must be complete.
DEADLINE_HEADER = "X-Deadline-Ms"

#: `urgent`, `normal` or `bulk`.
URGENCY_HEADER = "X-Urgency"

#: Longest deadline that a caller may set: a day.
MAX_DEADLINE_MS = 86_400_000

#: The key under which a request runs at most once.
KEY_HEADER = "Idempotency-Key"

#: A new key prefix, sent with a "not run" response to a keyed call.
KEY_PREFIX_HEADER = "X-Idempotency-Key-Prefix"

_URGENCIES = {item.name.lower(): item for item in Urgency}


def make_header_error(header: str, expected: str, found: str) -> CallerError:
    """Return the error for a malformed header."""
    detail = f"{header}: expected {expected}, found {found[:64]!r}."
    return CallerError(failure=make_failure(ResultCode.HEADER_MALFORMED, detail))


def read_deadline_ms(request: web.Request, *, default: int) -> int:
    """Return the deadline in milliseconds from now; raises `CallerError`."""
    value = request.headers.get(DEADLINE_HEADER)
    if value is None:
        return default
    is_number = value.isascii() and value.isdigit() and len(value) < 10
    if not is_number or not 1 <= int(value) <= MAX_DEADLINE_MS:
        raise make_header_error(DEADLINE_HEADER, f"1 to {MAX_DEADLINE_MS}", value)
    return int(value)


def read_urgency(request: web.Request, *, default: Urgency) -> Urgency:
    """Return the requested urgency; raises `CallerError`."""
    value = request.headers.get(URGENCY_HEADER)
    if value is None:
        return default
    if value not in _URGENCIES:
        raise make_header_error(
            URGENCY_HEADER, "one of " + ", ".join(_URGENCIES), value
        )
    return _URGENCIES[value]
