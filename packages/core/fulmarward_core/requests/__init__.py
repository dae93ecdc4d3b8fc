"""The life of a request and the events of its answer."""

from fulmarward_core.requests._events import EventBatch, StreamEvent
from fulmarward_core.requests.decisions import parse_events

__all__ = ["EventBatch", "StreamEvent", "parse_events"]
