"""Positions in the store's history, as one number that is ordered by era first.

The store counts its changes. When it comes back from an older copy of its rows, its
era rises and it gives out the numbers after the copy again. A version therefore names
both: `era * 10**12 + number`, readable in logs, and equal to the number while the store
names no era. All versions of rows and tables have this form, except in calls to the
store.
"""

#: Numbers in each era; far more than the store ever counts.
_NUMBERS_PER_ERA = 10**12

#: Upper bound on an era, so that a version fits into 64 bits.
MAX_ERA = 10**6


def make_store_version(era: int, number: int) -> int:
    """Return the version with a number that the store gave out in an era."""
    if not 0 <= era <= MAX_ERA:
        raise ValueError(f"expected an era up to {MAX_ERA}, found {era}")
    if not 0 <= number < _NUMBERS_PER_ERA:
        raise ValueError(f"expected a number below 10**12, found {number}")
    return era * _NUMBERS_PER_ERA + number


def find_era(version: int) -> int:
    """Return the era in which the store gave out a version."""
    return version // _NUMBERS_PER_ERA


def find_number(version: int) -> int:
    """Return the store's own number of a version."""
    return version % _NUMBERS_PER_ERA
