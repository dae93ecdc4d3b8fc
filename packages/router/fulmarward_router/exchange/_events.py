"""The events of a stream, cut out of the bytes in which they come."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class Event:
    """One whole event."""

    #: Its bytes, the blank line at its end included.
    data: bytes
    #: Its id, `None` when it has none.
    id: str | None


class EventSplitter:
    """Collects bytes and gives out whole events only.

    Guards against a target that stops in the middle of an event: what was given on
    could not be taken back when another target goes on.
    """

    def __init__(self) -> None:
        self._pending = b""

    def feed(self, data: bytes) -> list[Event]:
        """Take in bytes and return the events that they complete."""
        *whole, self._pending = (self._pending + data).split(b"\n\n")
        return [Event(data=item + b"\n\n", id=_find_id(item)) for item in whole]

    @property
    def pending(self) -> bytes:
        """Bytes after the last whole event."""
        return self._pending


def _find_id(event: bytes) -> str | None:
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return None


def is_after(event_id: str | None, last: str | None) -> bool:
    """Return whether an event comes after the last one that the caller has.

    Events without a number, and all of them before the first, do.
    """
    if event_id is None or last is None:
        return True
    try:
        return int(event_id) > int(last)
    except ValueError:
        return True
