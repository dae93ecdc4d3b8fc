"""The configuration's rows in the platform's tables."""

from dataclasses import asdict

from fulmarward.platform import Row
from fulmarward_core.configuration import EMPTY_HEAD, Head

#: The table whose only row holds the active head.
HEAD_TABLE = "configuration"
HEAD_KEY = "head"

#: The table that has a row for each epoch.
HISTORY_TABLE = "configuration-history"

#: Bounds the size of the history. At 2,100 changes a day it covers nearly five days,
#: longer than any apply can be in flight.
HISTORY_EPOCHS = 10_000


def make_history_key(epoch: int) -> str:
    """Return the key of an epoch's row; keys sort in the order of epochs."""
    return f"{epoch:012d}"


def render_head(head: Head) -> dict[str, object]:
    """Return the value of a row that holds `head`."""
    return asdict(head)


def parse_head(row: Row) -> Head:
    """Return the head that a row holds, `EMPTY_HEAD` for an absent row."""
    return EMPTY_HEAD if row.value is None else Head(**row.value)
