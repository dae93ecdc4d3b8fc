"""The events of an engine's stream."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event. Positional construction: it is made for every token."""

    #: The token's text; empty for the end.
    text: str
    #: Empty for a token, else how the stream ended.
    end: str


@dataclass(frozen=True, kw_only=True)
class EventBatch:
    """The events that were accepted from what arrived together."""

    #: Accepted events, in order and without gaps.
    events: list[StreamEvent]
    #: Events that were not this attempt's, doubled or out of order.
    dropped: int
