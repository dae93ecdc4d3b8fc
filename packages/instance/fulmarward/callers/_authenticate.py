"""Authenticates callers by their team's key."""

import hashlib

from aiohttp import web

from fulmarward._instance import Instance
from fulmarward.callers._errors import CallerError
from fulmarward_core.results import ResultCode, make_failure


def authenticate_team(instance: Instance, request: web.Request) -> str:
    """Return the name of the team whose key the call carries.

    Raises `CallerError` for a missing or wrong key. The declaration holds only digests
    of keys; the index of digests is rebuilt with each snapshot.
    """
    scheme, _, key = request.headers.get("Authorization", "").partition(" ")
    digest = "sha256:" + hashlib.sha256(key.encode()).hexdigest()
    if scheme.lower() == "bearer":
        team = instance.teams_by_digest.get(digest)
        if team is not None:
            return team
    raise CallerError(failure=make_failure(ResultCode.TEAM_KEY_WRONG))
