"""Frames on a link: which call a message belongs to, and what it is in it."""

import struct
from dataclasses import dataclass
from enum import IntEnum

_HEAD = struct.Struct(">BI")


class FrameKind(IntEnum):
    """What a frame is in its call."""

    #: Begins a call.
    CALL = 0
    #: The one answer, or the last of several.
    REPLY = 1
    #: One of several answers; more follow.
    ITEM = 2
    #: The answering side could not answer.
    FAULT = 3
    #: The calling side does not want more answers.
    CANCEL = 4


@dataclass(frozen=True, kw_only=True)
class Frame:
    """One frame."""

    #: What it is.
    kind: FrameKind
    #: Number of the call on this link.
    call: int
    #: The message's bytes; empty for `FAULT` and `CANCEL`.
    message: bytes = b""


def pack_frame(frame: Frame) -> bytes:
    """Return the frame's bytes."""
    return _HEAD.pack(frame.kind, frame.call) + frame.message


def unpack_frame(data: bytes) -> Frame | None:
    """Return the frame in `data`, or `None` when it is none."""
    if not isinstance(data, bytes) or len(data) < _HEAD.size:
        return None
    kind, call = _HEAD.unpack_from(data)
    if kind > FrameKind.CANCEL:
        return None
    return Frame(kind=FrameKind(kind), call=call, message=data[_HEAD.size :])
