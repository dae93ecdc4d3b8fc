"""The idempotency key of a call: read, minted, and told in the answer."""

from aiohttp import web

from fulmarward._instance import Instance
from fulmarward.callers._errors import FAILURE, CallerError
from fulmarward.callers._headers import KEY_HEADER, KEY_PREFIX_HEADER, refuse_header
from fulmarward.keys import claim_invented, mint_key, mint_prefix, read_key
from fulmarward_core.keys import HandedKey, InventedKey
from fulmarward_core.results import Failure, Ran

#: Where a call keeps its key and team for the headers of its answer.
_CALL_KEY = "fulmarward.key"


def read_call_key(
    instance: Instance, request: web.Request, team: str, *, idempotent: bool
) -> HandedKey | InventedKey | None:
    """Return the key that the call runs under; `None` when it needs none.

    A call that may run once and came without a key gets one of its own, which its
    caller finds in the answer and can come back with. Raises `CallerError`.
    """
    text = request.headers.get(KEY_HEADER)
    if text is None and idempotent:
        return None
    key = mint_key(instance, team) if text is None else read_key(instance, team, text)
    if key is None:
        raise refuse_header(KEY_HEADER, "a key of this team", text)
    request[_CALL_KEY] = (team, key.text)
    return key


async def claim_call_key(
    instance: Instance, team: str, key: InventedKey, body_hash: str
) -> HandedKey:
    """Return the handed key that stands for an invented one; raises `CallerError`."""
    claimed = await claim_invented(instance, team, key, body_hash)
    if isinstance(claimed, Failure):
        raise CallerError(failure=claimed)
    return claimed


def add_key_headers(
    instance: Instance, request: web.Request, response: web.StreamResponse
) -> None:
    """Say in the answer which key the call ran under.

    An answer that says "not run" closes its key for ever and brings a new prefix, so
    that the caller can send its request again at once.
    """
    if _CALL_KEY not in request:
        return
    team, text = request[_CALL_KEY]
    response.headers[KEY_HEADER] = text
    failure = response.get(FAILURE)
    if failure is not None and failure.ran is Ran.NOT_RUN:
        response.headers[KEY_PREFIX_HEADER] = mint_prefix(instance, team)
