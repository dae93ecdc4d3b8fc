"""A row's value as it travels."""

import zlib

#: Upper bound of an unpacked value, so that few bytes cannot fill the memory.
MAX_VALUE_BYTES = 4 << 20


def pack_value(value: bytes) -> bytes:
    """Return a value as it travels; routes that are like each other take a tenth."""
    return zlib.compress(value)


def unpack_value(packed: bytes) -> bytes:
    """Return the value in `packed`; raises `ValueError` if it holds no whole one."""
    stream = zlib.decompressobj()
    try:
        value = stream.decompress(packed, MAX_VALUE_BYTES + 1)
    except zlib.error as error:
        raise ValueError(f"expected a packed value, found {error}") from error
    if len(value) > MAX_VALUE_BYTES:
        raise ValueError(f"expected at most {MAX_VALUE_BYTES} bytes, found more")
    if not stream.eof or stream.unused_data:
        raise ValueError("expected one whole packed value, found another end")
    return value
