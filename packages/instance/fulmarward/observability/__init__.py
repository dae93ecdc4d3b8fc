"""JSON logs and metrics."""

from fulmarward.observability._logs import log_event, start_logging
from fulmarward.observability._metrics import Metrics, make_metrics
from fulmarward.observability._traces import TraceHandler

__all__ = ["Metrics", "TraceHandler", "log_event", "make_metrics", "start_logging"]
