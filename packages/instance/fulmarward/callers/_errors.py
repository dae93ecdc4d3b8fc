"""Renders failures as HTTP responses for callers."""

from math import ceil

from aiohttp import web

from fulmarward_core.results import CODES, Failure

#: Key under which a response stores its failure.
FAILURE = "fulmarward.failure"


class CallerError(Exception):
    """Aborts the handling of a call with a failure; caught by the middleware."""

    def __init__(self, *, failure: Failure) -> None:
        super().__init__(failure.message)
        self.failure = failure


def render_failure(failure: Failure) -> dict[str, object]:
    """Return the JSON body for `failure`."""
    entry = CODES[failure.code]
    return {
        "error": {
            "message": failure.message,
            "type": entry.type,
            "code": failure.code.name.lower(),
        },
        "result": failure.code.value,
        "ran": failure.ran.value,
        "retry_after_ms": failure.retry_after_ms,
    }


def make_failure_response(failure: Failure) -> web.Response:
    """Return the HTTP response for `failure`."""
    headers = {}
    if failure.retry_after_ms is not None:
        headers["Retry-After"] = str(ceil(failure.retry_after_ms / 1000))
    response = web.json_response(
        render_failure(failure), status=CODES[failure.code].status, headers=headers
    )
    response[FAILURE] = failure
    return response
