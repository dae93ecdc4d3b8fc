"""Splits a byte stream into server-sent events."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class Event:
    """One complete event."""

    #: Includes the terminating blank line.
    data: bytes
    id: str | None
    #: Whether it has data; one without is a comment, or only sets fields.
    has_data: bool

    @property
    def is_unnumbered(self) -> bool:
        """Whether it has data, and no numeric id."""
        return self.has_data and _parse_number(self.id) is None


class EventSplitter:
    """Buffers bytes and returns complete events only.

    Guards against a target that stops in the middle of an event: a partial event that
    was forwarded could not be withdrawn when another target resumes the stream.
    """

    def __init__(self) -> None:
        self._pending = bytearray()
        #: Number of events with data completed so far.
        self.completed = 0
        #: Bytes received since the last event with data.
        self._comment_bytes = 0
        #: Bytes that were received and not fed yet, and the events of earlier ones.
        self.unsplit = b""
        self._events: list[Event] = []

    def feed_step(self, size: int) -> int:
        """Feed up to `size` of the unsplit bytes; return `unused_bytes`."""
        step, self.unsplit = self.unsplit[:size], self.unsplit[size:]
        self._events += self.feed(step)
        return self.unused_bytes

    def take_events(self) -> list[Event]:
        """Return the events of all steps since the last call."""
        events, self._events = self._events, []
        return events

    def feed(self, data: bytes) -> list[Event]:
        """Append bytes and return the events that they complete."""
        # All that is pending was searched before, but its last byte may begin the end.
        searched = max(0, len(self._pending) - 1)
        self._pending += data
        if self._pending.find(b"\n\n", searched) < 0:
            return []
        *whole, remaining = bytes(self._pending).split(b"\n\n")
        self._pending = bytearray(remaining)
        events = [_parse(item) for item in whole]
        for event in events:
            self.completed += event.has_data
            size = 0 if event.has_data else self._comment_bytes + len(event.data)
            self._comment_bytes = size
        return events

    @property
    def pending(self) -> bytes:
        """Bytes after the last complete event."""
        return bytes(self._pending)

    @property
    def unused_bytes(self) -> int:
        """Number of bytes received since the last event with data."""
        return self._comment_bytes + len(self._pending)


def _parse(item: bytes) -> Event:
    event_id, has_data = None, False
    for line in item.split(b"\n"):
        if event_id is None and line.startswith(b"id:"):
            event_id = line[3:].strip().decode("latin-1")
        has_data = has_data or line == b"data" or line.startswith(b"data:")
    return Event(data=item + b"\n\n", id=event_id, has_data=has_data)


def is_after(event_id: str | None, last: str | None) -> bool:
    """Return whether an event comes after the last one sent to the caller.

    True for events without a numeric id, and while no event has been sent.
    """
    number, last_number = _parse_number(event_id), _parse_number(last)
    return number is None or last_number is None or number > last_number


def _parse_number(event_id: str | None) -> int | None:
    try:
        return None if event_id is None else int(event_id)
    except ValueError:
        return None


def is_next(event: Event, last: str | None) -> bool:
    """Return whether an event with data comes after the last one sent to the caller."""
    return event.has_data and is_after(event.id, last)
