"""The platform's service: tables, objects and the list of instances."""

from fulmarward.platform._adapter import (
    Absent,
    Committed,
    Condition,
    Conflict,
    Platform,
    PlatformMember,
    PlatformOut,
    Row,
    Uncertain,
    Write,
    fetch_object,
    list_members,
    list_rows,
    read_row,
    store_object,
    transact,
)

__all__ = [
    "Absent",
    "Committed",
    "Condition",
    "Conflict",
    "Platform",
    "PlatformMember",
    "PlatformOut",
    "Row",
    "Uncertain",
    "Write",
    "fetch_object",
    "list_members",
    "list_rows",
    "read_row",
    "store_object",
    "transact",
]
