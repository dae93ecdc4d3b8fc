"""Decides whether a value is an address that can be dialled."""

import re
from ipaddress import IPv4Address, IPv6Address

#: Highest port of an address.
MAX_PORT = 65535

#: An IPv4 address, or an IPv6 address in brackets, and a port in decimal notation.
_ADDRESS = re.compile(
    r"(?:(?P<ipv4>[0-9.]{7,15})|\[(?P<ipv6>[0-9a-fA-F:.]{2,45})\])"
    r":(?P<port>[1-9][0-9]{0,4})"
)


def is_address(value: object) -> bool:
    """Return whether a value of any type is `IP:PORT`."""
    match = _ADDRESS.fullmatch(value) if isinstance(value, str) else None
    if match is None or int(match["port"]) > MAX_PORT:
        return False
    try:
        IPv6Address(match["ipv6"]) if match["ipv6"] else IPv4Address(match["ipv4"])
    except ValueError:
        return False
    return True
