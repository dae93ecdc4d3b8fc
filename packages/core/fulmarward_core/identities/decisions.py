"""Decides whether a row of the instances' table describes an instance.

Any writer may store rows. What dials an instance or sends callers to it relies on these
checks.
"""

from collections.abc import Sequence
from enum import Enum

from fulmarward_core.addresses import is_address

#: Maximum length of a name, in bytes.
MAX_NAME_BYTES = 200

#: Upper bound on the start of a process in ms since 1970.
MAX_BOOT_MS = 2**53

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


def find_fault(key: str, fields: object) -> IdentityFault | None:
    """Return why a row describes no instance, `None` if it describes one.

    `fields` is of any type.
    """
    if not isinstance(fields, Sequence) or isinstance(fields, str | bytes):
        return IdentityFault.FIELDS
    if len(fields) != FIELDS:
        return IdentityFault.FIELDS
    name, boot, data_centre, peer_address, caller_address = fields
    checks = {
        IdentityFault.NAME: _is_name(name) and name == key,
        IdentityFault.BOOT: type(boot) is int and 0 <= boot <= MAX_BOOT_MS,
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


def _is_optional_address(value: object) -> bool:
    """Return whether a value is an address, or empty for an instance without one."""
    return is_address(value) or (isinstance(value, str) and value == "")
