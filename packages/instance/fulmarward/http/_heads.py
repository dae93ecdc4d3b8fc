"""Checks that the head of a response is well-formed HTTP/1, by its bytes.

The parser is lenient: it accepts invalid status codes and other protocols, and drops
blanks around some field names, which its result does not show.
"""

import re
from collections.abc import Iterable

import aiohttp

#: Bytes that are quoted of a malformed line.
MAX_QUOTED_BYTES = 64

_INTERIM_STATUS = re.compile(rb"(?:\r?\n)*+HTTP/1\.[01] 1\d\d(?: [^\n]*+)?\r?\n")
_FINAL_STATUS = re.compile(rb"(?:\r?\n)*+HTTP/1\.[01] [2-5]\d\d(?: [^\n]*+)?\r?\n")

#: A field value up to the end of its line: no control bytes except tabs.
_VALUE = rb"[\t\x20-\x7e\x80-\xff]*+\r?\n"

#: Field lines, whose values may be folded (RFC 9112, section 5.2).
_FIELDS = re.compile(
    rb"(?:[!#$%&'*+.^_`|~0-9A-Za-z-]++:" + _VALUE + rb"(?:[ \t]" + _VALUE + rb")*+)*+"
)
_END = re.compile(rb"\r?\n")


class MalformedHeadError(aiohttp.ClientPayloadError):
    """The head of a response is malformed; the message quotes the invalid part."""


def check_heads(data: bytes, *, interim_responses: int) -> None:
    """Check the head of a response, and those of the interim responses before it.

    Raises `MalformedHeadError`. Interim responses have a status from 100 to 199, the
    final one from 200 to 599 (RFC 9110, section 15); `data` may contain a body too.
    """
    position = 0
    for status in [*[_INTERIM_STATUS] * interim_responses, _FINAL_STATUS]:
        for part in (status, _FIELDS, _END):
            match = part.match(data, position)
            if match is None:
                line = data[position : position + MAX_QUOTED_BYTES].partition(b"\n")[0]
                raise MalformedHeadError(f"malformed head: {bytes(line)!r}")
            position = match.end()


def check_transfer_codings(values: Iterable[str]) -> None:
    """Check the values of `Transfer-Encoding`, of which only `chunked` is decoded.

    Raises `MalformedHeadError`. Others must not be sent to a client that has not
    offered them (RFC 9112, section 7.4), and their body would be passed on encoded.
    """
    codings = [coding.strip(" \t").lower() for v in values for coding in v.split(",")]
    if codings not in ([], ["chunked"]):
        raise MalformedHeadError(f"transfer codings: {codings!r}"[:MAX_QUOTED_BYTES])
