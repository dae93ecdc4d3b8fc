"""Splits a byte stream into server-sent events."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class Event:
    """One complete event."""

    #: Includes the terminating blank line.
    data: bytes
    id: str | None


class EventSplitter:
    """Buffers bytes and returns complete events only.

    Guards against a target that stops in the middle of an event: a partial event that
    was forwarded could not be withdrawn when another target resumes the stream.
    """

    def __init__(self) -> None:
        self._pending = b""
        #: Number of events completed so far.
        self.completed = 0

    def feed(self, data: bytes) -> list[Event]:
        """Append bytes and return the events that they complete."""
        *whole, self._pending = (self._pending + data).split(b"\n\n")
        self.completed += len(whole)
        return [Event(data=item + b"\n\n", id=_parse_id(item)) for item in whole]

    @property
    def pending(self) -> bytes:
        """Bytes after the last complete event."""
        return self._pending


def _parse_id(event: bytes) -> str | None:
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return None


def is_after(event_id: str | None, last: str | None) -> bool:
    """Return whether an event comes after the last one sent to the caller.

    True for events without a numeric id, and while no event has been sent.
    """
    if event_id is None or last is None:
        return True
    try:
        return int(event_id) > int(last)
    except ValueError:
        return True
