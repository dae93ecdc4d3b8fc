"""JSON logs and metrics."""

from fulmarward.observability._logs import (
    count_dropped_lines,
    log_event,
    start_logging,
    stop_logging,
)
from fulmarward.observability._metrics import (
    MetricFactory,
    Metrics,
    count_frame,
    make_metric_factory,
    make_metrics,
)
from fulmarward.observability._traces import TraceHandler

__all__ = [
    "MetricFactory",
    "Metrics",
    "TraceHandler",
    "count_dropped_lines",
    "count_frame",
    "log_event",
    "make_metric_factory",
    "make_metrics",
    "start_logging",
    "stop_logging",
]
