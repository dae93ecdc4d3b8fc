"""The rows of the platform's tables that configuration uses."""

from dataclasses import asdict

from fulmarward.platform import Row
from fulmarward_core.configuration import EMPTY_HEAD, Head

#: The table with the one row that says what is in force.
HEAD_TABLE = "configuration"
HEAD_KEY = "head"

#: The table with a row for each epoch.
HISTORY_TABLE = "configuration-history"

#: Epochs that the history keeps. Load: 2,100 changes a day; harm: a table that grows
#: for ever; reason: nearly five days, longer than any apply can be on its way.
HISTORY_EPOCHS = 10_000


def make_history_key(epoch: int) -> str:
    """Return the key of an epoch's row; keys sort as epochs do."""
    return f"{epoch:012d}"


def render_head(head: Head) -> dict[str, object]:
    """Return the value of a head's row."""
    return asdict(head)


def parse_head(row: Row) -> Head:
    """Return the head that a row holds, `EMPTY_HEAD` for an absent row."""
    return EMPTY_HEAD if row.value is None else Head(**row.value)
