"""Validates JSON into typed values, and reports all faults instead of the first."""

from fulmarward_core.checks._readers import (
    REQUIRED,
    Fault,
    Field,
    Reader,
    describe_faults,
    parse_json,
    read_address,
    read_boolean,
    read_integer,
    read_list_of,
    read_map_of,
    read_number,
    read_one_of,
    read_optional,
    read_record,
    read_string,
)

__all__ = [
    "REQUIRED",
    "Fault",
    "Field",
    "Reader",
    "describe_faults",
    "parse_json",
    "read_address",
    "read_boolean",
    "read_list_of",
    "read_map_of",
    "read_number",
    "read_one_of",
    "read_optional",
    "read_record",
    "read_string",
    "read_integer",
]
