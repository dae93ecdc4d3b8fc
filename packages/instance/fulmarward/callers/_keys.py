"""Reads or issues the idempotency key of a call and reports it in the response."""

from aiohttp import web

from fulmarward._instance import Instance
from fulmarward.callers._errors import FAILURE, CallerError
from fulmarward.callers._headers import KEY_HEADER, KEY_PREFIX_HEADER, make_header_error
from fulmarward.keys import claim_caller_key, issue_key, issue_prefix, read_key
from fulmarward_core.keys import CallerKey, IssuedKey
from fulmarward_core.results import ExecutionState, Failure

#: Key under which a request stores its team and idempotency key for the response.
_KEY_ENTRY = "fulmarward.key"


def read_call_key(
    instance: Instance, request: web.Request, team: str, *, idempotent: bool
) -> IssuedKey | CallerKey | None:
    """Return the key that the call runs under, `None` if it needs none.

    A non-idempotent call without a key is issued one, which the response reports so
    that the caller can repeat the call with it. Raises `CallerError`.
    """
    text = request.headers.get(KEY_HEADER)
    if text is None and idempotent:
        return None
    key = issue_key(instance, team) if text is None else read_key(instance, team, text)
    if key is None:
        raise make_header_error(KEY_HEADER, "a key of this team", text)
    request[_KEY_ENTRY] = (team, key.text)
    return key


async def claim_call_key(
    instance: Instance, team: str, key: CallerKey, body_hash: str
) -> IssuedKey:
    """Return the issued key of a caller-generated one; raises `CallerError`."""
    claimed = await claim_caller_key(instance, team, key, body_hash)
    if isinstance(claimed, Failure):
        raise CallerError(failure=claimed)
    return claimed


def add_key_headers(
    instance: Instance, request: web.Request, response: web.StreamResponse
) -> None:
    """Add the key of the call to the response.

    A "not run" response closes its key permanently and carries a new prefix, so that
    the caller can resend its request at once.
    """
    if _KEY_ENTRY not in request:
        return
    team, text = request[_KEY_ENTRY]
    response.headers[KEY_HEADER] = text
    failure = response.get(FAILURE)
    if failure is not None and failure.ran is ExecutionState.NOT_RUN:
        response.headers[KEY_PREFIX_HEADER] = issue_prefix(instance, team)
