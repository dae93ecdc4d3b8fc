"""The record of every execution, the witness in every proof."""

from dataclasses import asdict, dataclass

from aiohttp import web


@dataclass(frozen=True, kw_only=True)
class LedgerEntry:
    """One thing that a stand-in executed."""

    #: Id of the request, as its caller gave it.
    request: str
    #: Number of the attempt.
    attempt: int
    #: Name of the team.
    team: str
    #: Token position, from 0; -1 where there is none.
    position: int
    #: First layer run, and the last, both included; -1 where there is none.
    first_layer: int
    last_layer: int
    #: `began`, `ran`, `ended` or `cancelled`.
    event: str


#: Where an app keeps its ledger.
LEDGER: web.AppKey[list[LedgerEntry]] = web.AppKey("ledger", list)


async def show_ledger(request: web.Request) -> web.Response:
    """Answer `GET /ledger` with every entry, oldest first."""
    return web.json_response([asdict(entry) for entry in request.app[LEDGER]])
