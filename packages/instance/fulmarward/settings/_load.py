"""Parses and validates the settings file."""

import dataclasses
import json
from pathlib import Path

from fulmarward.settings._types import InstanceSettings, Limits, TlsFiles
from fulmarward_core.checks import (
    Fault,
    Field,
    parse_json,
    read_address,
    read_integer,
    read_list_of,
    read_one_of,
    read_optional,
    read_record,
    read_string,
)

#: Maximum value of any limit.
MAX_LIMIT = 1_000_000_000

_NAME = read_string(
    pattern=r"[a-z0-9][a-z0-9._-]{0,62}",
    expected="a name of lower-case letters, digits, '.', '_' and '-'",
)
_PATH = read_string(expected="the path of a file")
_LEVELS = ("debug", "info", "warning", "error")

_READ_TLS = read_record(
    TlsFiles, {"certificate_file": Field(read=_PATH), "key_file": Field(read=_PATH)}
)
_READ_LIMITS = read_record(
    Limits,
    {
        limit.name: Field(
            read=read_integer(least=1, most=MAX_LIMIT), default=limit.default
        )
        for limit in dataclasses.fields(Limits)
    },
)
_READ_SETTINGS = read_record(
    InstanceSettings,
    {
        "name": Field(read=_NAME),
        "data_centre": Field(read=_NAME),
        "caller_address": Field(read=read_address()),
        "operator_address": Field(read=read_address()),
        "peer_address": Field(read=read_address()),
        "platform_address": Field(read=read_address()),
        "platform_token_file": Field(read=_PATH),
        "operator_tokens_file": Field(read=_PATH),
        "peer_secrets_file": Field(read=_PATH),
        "seed_peers": Field(read=read_list_of(read_address(), most=64), default=()),
        "tls": Field(read=read_optional(_READ_TLS), default=None),
        "log_level": Field(
            read=read_one_of({level: level for level in _LEVELS}), default="info"
        ),
        "limits": Field(read=_READ_LIMITS, default=Limits()),
    },
)


def parse_settings(value: object) -> InstanceSettings | tuple[Fault, ...]:
    """Return the settings in the JSON `value`, or all faults found in it."""
    faults: list[Fault] = []
    settings = _READ_SETTINGS(value, "", faults)
    return tuple(faults) if faults else settings


def load_settings(path: str) -> InstanceSettings | tuple[Fault, ...]:
    """Return the settings in the file at `path`, or all faults found in it."""
    try:
        text = Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        fault = Fault(where=path, expected="a readable file", found=str(error))
        return (fault,)
    faults: list[Fault] = []
    value = parse_json(text, path, faults)
    return tuple(faults) if faults else parse_settings(value)


def show_settings(settings: InstanceSettings) -> str:
    """Return the effective settings as JSON; secrets are in files of their own."""
    return json.dumps(dataclasses.asdict(settings), indent=2)
