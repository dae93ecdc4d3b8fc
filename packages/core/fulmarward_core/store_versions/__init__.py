"""Versions of the platform's store that stay ordered when it loses its last changes."""

from fulmarward_core.store_versions._versions import (
    MAX_ERA,
    find_era,
    find_number,
    make_store_version,
)

__all__ = ["MAX_ERA", "find_era", "find_number", "make_store_version"]
