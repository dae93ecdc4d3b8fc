"""JSON logs and metrics."""

from fulmarward.observability._logs import log_event, start_logging
from fulmarward.observability._metrics import Metrics, make_metrics

__all__ = ["Metrics", "log_event", "make_metrics", "start_logging"]
