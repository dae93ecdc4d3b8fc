"""Settings of the client: the instances' addresses and the operator token."""

import ssl
from dataclasses import dataclass
from pathlib import Path

from fulmarctl._client import Fleet
from fulmarctl._output import print_failure
from fulmarward_core.checks import (
    Fault,
    Field,
    describe_faults,
    parse_json,
    read_address,
    read_list_of,
    read_optional,
    read_record,
    read_string,
)
from fulmarward_core.results import ResultCode, make_failure


@dataclass(frozen=True, kw_only=True)
class _ClientSettings:
    addresses: tuple[str, ...]
    token_file: str
    authority_file: str | None


_PATH = read_string(expected="the path of a file")
_READ_SETTINGS = read_record(
    _ClientSettings,
    {
        "addresses": Field(read=read_list_of(read_address(), least=1, most=1000)),
        "token_file": Field(read=_PATH),
        "authority_file": Field(read=read_optional(_PATH), default=None),
    },
)


def load_fleet(path: str) -> Fleet:
    """Load the settings; on errors print all of them and exit."""
    faults: list[Fault] = []
    try:
        value = parse_json(Path(path).read_text(), path, faults)
        settings = None if faults else _READ_SETTINGS(value, "", faults)
        token = Path(settings.token_file).read_text().strip() if settings else ""
        tls = _make_tls(settings) if settings else None
    except (OSError, UnicodeDecodeError) as error:
        faults.append(Fault(where=path, expected="a readable file", found=str(error)))
    if faults:
        failure = make_failure(ResultCode.SETTINGS_INVALID, describe_faults(faults))
        print_failure(failure)
    return Fleet(addresses=settings.addresses, token=token, tls=tls)


def _make_tls(settings: _ClientSettings) -> ssl.SSLContext | None:
    if settings.authority_file is None:
        return None
    return ssl.create_default_context(cafile=settings.authority_file)
