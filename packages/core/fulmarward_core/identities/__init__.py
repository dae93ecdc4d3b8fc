"""Which rows describe an instance."""

from fulmarward_core.identities.decisions import (
    MAX_NAME_BYTES,
    IdentityFault,
    find_fault,
)

__all__ = ["MAX_NAME_BYTES", "IdentityFault", "find_fault"]
