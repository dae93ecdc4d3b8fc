"""Events of answers and outcomes of requests."""

from fulmarward_core.requests._events import EventBatch, StreamEvent
from fulmarward_core.requests.decisions import (
    choose_failure,
    find_new_texts,
    parse_events,
)

__all__ = [
    "EventBatch",
    "StreamEvent",
    "choose_failure",
    "find_new_texts",
    "parse_events",
]
