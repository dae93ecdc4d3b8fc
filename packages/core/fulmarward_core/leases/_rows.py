"""Decides whether a row holds a lease. Any writer may store rows."""

from collections.abc import Callable, Mapping

from fulmarward_core.leases._types import Lease

#: Maximum length of a text, in characters.
MAX_TEXT = 200

#: Upper bound on numbers, so that those after them can be stored.
MAX_NUMBER = 2**53


def read_lease(fields: object) -> Lease | None:
    """Return the lease with these fields, `None` if they are not those of one.

    `fields` is of any type.
    """
    if not isinstance(fields, Mapping) or fields.keys() != _CHECKS.keys():
        return None
    if not all(is_valid(fields[name]) for name, is_valid in _CHECKS.items()):
        return None
    return Lease(**fields)


def _is_text(value: object) -> bool:
    return isinstance(value, str) and len(value) <= MAX_TEXT and value.isprintable()


def _is_number(value: object) -> bool:
    return type(value) is int and 0 <= value <= MAX_NUMBER


_CHECKS: Mapping[str, Callable[[object], bool]] = {
    "holder": _is_text,
    "boot": _is_number,
    "fencing": _is_number,
    "token": _is_text,
}
