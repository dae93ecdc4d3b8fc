"""Types of the events in an engine's stream."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """An event; constructed positionally for speed, since every token makes one."""

    #: Text of the token, empty for the end of the stream.
    text: str
    #: How the stream ended, empty for a token.
    end: str


@dataclass(frozen=True, kw_only=True)
class EventBatch:
    """The events accepted from one batch of received items."""

    #: Accepted events, in order and without gaps.
    events: list[StreamEvent]
    #: Number of events that were duplicate, out of order or of another attempt.
    dropped: int
