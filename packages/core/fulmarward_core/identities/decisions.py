"""Decides whether a row of the instances' table describes an instance.

Any writer may store rows. What dials an instance or sends callers to it relies on these
checks.
"""

from collections.abc import Sequence
from enum import Enum

from fulmarward_core.addresses import is_address

#: Maximum length of a name, in bytes.
MAX_NAME_BYTES = 200

#: Milliseconds by which the clocks of two machines may differ.
MAX_CLOCK_DIFFERENCE_MS = 24 * 60 * 60 * 1000

#: Number of fields of a row: name, start, data centre, address for peers and callers.
FIELDS = 5


class IdentityFault(Enum):
    """Why a row describes no instance."""

    FIELDS = "fields"
    #: The name is no text, or not the key of the row.
    NAME = "name"
    BOOT = "boot"
    DATA_CENTRE = "data_centre"
    PEER_ADDRESS = "peer_address"
    CALLER_ADDRESS = "caller_address"


def find_fault(key: str, fields: object, *, now_ms: float) -> IdentityFault | None:
    """Return why a row describes no instance, `None` if it describes one.

    `fields` is of any type, `now_ms` in ms since 1970. Guards against an instance that
    counts as ended, since a process of its name seems to have started after it.
    """
    if not isinstance(fields, Sequence) or isinstance(fields, str | bytes):
        return IdentityFault.FIELDS
    if len(fields) != FIELDS:
        return IdentityFault.FIELDS
    name, boot, data_centre, peer_address, caller_address = fields
    checks = {
        IdentityFault.NAME: _is_name(name) and name == key,
        IdentityFault.BOOT: _is_past(boot, now_ms),
        IdentityFault.DATA_CENTRE: _is_name(data_centre),
        IdentityFault.PEER_ADDRESS: _is_optional_address(peer_address),
        IdentityFault.CALLER_ADDRESS: _is_optional_address(caller_address),
    }
    return next((fault for fault, is_valid in checks.items() if not is_valid), None)


def _is_name(value: object) -> bool:
    return (
        isinstance(value, str)
        and value.isprintable()
        and 0 < len(value.encode(errors="replace")) <= MAX_NAME_BYTES
    )


def _is_past(boot: object, now_ms: float) -> bool:
    latest_ms = now_ms + MAX_CLOCK_DIFFERENCE_MS
    return type(boot) is int and 0 <= boot <= latest_ms


def _is_optional_address(value: object) -> bool:
    """Return whether a value is an address, or empty for an instance without one."""
    return is_address(value) or (isinstance(value, str) and value == "")
