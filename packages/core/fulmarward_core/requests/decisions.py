"""Which events of a target belong to an answer."""

from collections.abc import Iterable, Mapping
from typing import Any

from fulmarward_core.requests._events import EventBatch, StreamEvent


def parse_events(
    items: Iterable[Mapping[str, Any]], *, request: str, attempt: int, next_number: int
) -> EventBatch:
    """Return the events of this attempt that continue the answer at `next_number`.

    Guards against late, doubled, swapped and foreign replies: an event counts only
    with this request's id, this attempt's number and exactly the next event number.
    """
    events = []
    dropped = 0
    for item in items:
        is_ours = (
            item.get("request") == request
            and item.get("attempt") == attempt
            and item.get("n") == next_number
        )
        if not is_ours:
            dropped += 1
            continue
        next_number += 1
        events.append(StreamEvent(item.get("text", ""), item.get("end", "")))
    return EventBatch(events=events, dropped=dropped)
