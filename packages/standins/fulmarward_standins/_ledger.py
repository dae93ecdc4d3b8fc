"""The record of every execution, the witness in every proof."""

import json
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import TextIO

import xxhash
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


class Ledger(list[LedgerEntry]):
    """All entries; with a file they outlive the stand-in's process."""

    def __init__(self, path: str = "") -> None:
        super().__init__()
        self._file: TextIO | None = None
        if path:
            self._file = Path(path).open("a", buffering=1)  # noqa: SIM115

    def append(self, entry: LedgerEntry) -> None:
        """Add an entry, to the file as well."""
        super().append(entry)
        self._write(asdict(entry))

    def note_work(self, request: str, attempt: int, text: str) -> None:
        """Write in the file which work an execution is of, by a digest of it."""
        work = digest_work(text)
        self._write({"request": request, "attempt": attempt, "work": work})

    def _write(self, members: dict[str, object]) -> None:
        if self._file is not None:
            self._file.write(json.dumps(members) + "\n")


def digest_work(text: str) -> str:
    """Return the digest under which a ledger's file names a prompt or a body."""
    return xxhash.xxh64_hexdigest(text.encode())


#: Where an app keeps its ledger.
LEDGER: web.AppKey[Ledger] = web.AppKey("ledger", Ledger)


async def show_ledger(request: web.Request) -> web.Response:
    """Answer `GET /ledger` with every entry, oldest first."""
    return web.json_response([asdict(entry) for entry in request.app[LEDGER]])
