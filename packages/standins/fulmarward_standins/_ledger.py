"""The ledger: a record of every execution, against which tests check guarantees."""

import json
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import TextIO

import xxhash
from aiohttp import web


@dataclass(frozen=True, kw_only=True)
class LedgerEntry:
    """One event in the execution of a request by a stand-in."""

    #: Request id given by the caller.
    request: str
    attempt: int
    team: str
    #: Token position from 0, or -1 if there is none.
    position: int
    #: First and last layer run, both inclusive, or -1 if there is none.
    first_layer: int
    last_layer: int
    #: `began`, `ran`, `ended` or `cancelled`.
    event: str


class Ledger(list[LedgerEntry]):
    """All entries; if written to a file they survive the stand-in's process."""

    def __init__(self, path: str = "") -> None:
        super().__init__()
        self._file: TextIO | None = None
        if path:
            self._file = Path(path).open("a", buffering=1)  # noqa: SIM115

    def append(self, entry: LedgerEntry) -> None:
        """Add an entry and write it to the file, if any."""
        super().append(entry)
        self._write(asdict(entry))

    def record_work(self, request: str, attempt: int, text: str) -> None:
        """Write the digest of an execution's prompt or body to the file."""
        work = digest_work(text)
        self._write({"request": request, "attempt": attempt, "work": work})

    def _write(self, members: dict[str, object]) -> None:
        if self._file is not None:
            self._file.write(json.dumps(members) + "\n")


def digest_work(text: str) -> str:
    """Return the digest that identifies a prompt or a body in a ledger file."""
    return xxhash.xxh64_hexdigest(text.encode())


#: The app's ledger.
LEDGER: web.AppKey[Ledger] = web.AppKey("ledger", Ledger)


async def show_ledger(request: web.Request) -> web.Response:
    """Handle `GET /ledger`: return every entry, oldest first."""
    return web.json_response([asdict(entry) for entry in request.app[LEDGER]])
