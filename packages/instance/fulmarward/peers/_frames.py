"""Frames of a link, which multiplex concurrent calls over one connection."""

import struct
from dataclasses import dataclass
from enum import IntEnum

_HEAD = struct.Struct(">BI")


class FrameKind(IntEnum):
    """The role of a frame within its call."""

    #: The request that starts a call.
    CALL = 0
    #: The only response, or the last of several.
    REPLY = 1
    #: One of several responses; more follow.
    ITEM = 2
    #: The callee could not process the call.
    FAULT = 3
    #: The caller wants no further responses.
    CANCEL = 4


@dataclass(frozen=True, kw_only=True)
class Frame:
    """A frame header and its encoded message."""

    #: The frame's role in its call.
    kind: FrameKind
    #: Number of the call, unique on this link.
    call: int
    #: The encoded message; empty for `FAULT` and `CANCEL`.
    message: bytes = b""


def pack_frame(frame: Frame) -> bytes:
    """Return the encoded frame."""
    return _HEAD.pack(frame.kind, frame.call) + frame.message


def unpack_frame(data: bytes) -> Frame | None:
    """Return the frame in `data`, or `None` if it is malformed."""
    if not isinstance(data, bytes) or len(data) < _HEAD.size:
        return None
    kind, call = _HEAD.unpack_from(data)
    if kind > FrameKind.CANCEL:
        return None
    return Frame(kind=FrameKind(kind), call=call, message=data[_HEAD.size :])
