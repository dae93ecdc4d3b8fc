"""Metrics in the Prometheus text format."""

from dataclasses import dataclass
from math import inf

from aioprometheus import REGISTRY, Counter, Gauge, Histogram, Registry

#: Bucket bounds of the latency histograms, in seconds.
LATENCY_BUCKETS_S = [0.005, 0.01, 0.03, 0.1, 0.3, 1.0, 1.6, 3.0, 10.0, 30.0, inf]


@dataclass(frozen=True, kw_only=True)
class Metrics:
    """The metrics of one instance."""

    #: The registry that `/metrics` renders.
    registry: Registry
    #: Requests by `kind` and `result`.
    requests: Counter
    #: Decisions by `kind` and `reason`.
    decisions: Counter
    #: Dropped target events by `reason`.
    dropped: Counter
    #: Messages between peers by `kind` and `direction`.
    control_messages: Counter
    #: Bytes between peers by `direction`.
    control_bytes: Counter
    #: Currently open requests.
    open_requests: Gauge
    #: The active configuration epoch.
    epoch: Gauge
    #: Seconds from acceptance to the first token.
    first_token_seconds: Histogram
    #: Seconds from acceptance to the end of the answer.
    request_seconds: Histogram


@dataclass(frozen=True, kw_only=True)
class MetricFactory:
    """Creates the metrics of one process under the prefix `fulmarward_`."""

    #: The registry of all created metrics.
    registry: Registry
    #: Bucket bounds of the histograms, in seconds.
    buckets_s: list[float]

    def count(self, name: str, text: str) -> Counter:
        """Return a new counter."""
        return Counter(f"fulmarward_{name}", text, registry=self.registry)

    def gauge(self, name: str, text: str) -> Gauge:
        """Return a new gauge."""
        return Gauge(f"fulmarward_{name}", text, registry=self.registry)

    def histogram(self, name: str, text: str) -> Histogram:
        """Return a new histogram of seconds."""
        return Histogram(
            f"fulmarward_{name}", text, registry=self.registry, buckets=self.buckets_s
        )


def make_metric_factory(buckets_s: list[float]) -> MetricFactory:
    """Return a factory with its own registry."""
    REGISTRY.clear()
    return MetricFactory(registry=Registry(), buckets_s=buckets_s)


def make_metrics() -> Metrics:
    """Return the metrics of an instance in a new registry."""
    factory = make_metric_factory(LATENCY_BUCKETS_S)
    return Metrics(
        registry=factory.registry,
        requests=factory.count(
            "requests_total", "Requests answered, by kind and result."
        ),
        decisions=factory.count("decisions_total", "Decisions, by kind and reason."),
        dropped=factory.count(
            "dropped_events_total", "Target events dropped, by reason."
        ),
        control_messages=factory.count(
            "control_messages_total", "Messages between peers."
        ),
        control_bytes=factory.count("control_bytes_total", "Bytes between peers."),
        open_requests=factory.gauge("open_requests", "Requests open now."),
        epoch=factory.gauge("configuration_epoch", "Configuration epoch in force."),
        first_token_seconds=factory.histogram(
            "first_token_seconds", "Time to the first token."
        ),
        request_seconds=factory.histogram(
            "request_seconds", "Time to the end of the answer."
        ),
    )


def count_frame(metrics: Metrics, direction: str, size: int) -> None:
    """Count one peer frame of `size` bytes."""
    metrics.control_bytes.add({"direction": direction}, size)
    metrics.control_messages.add({"kind": "frame", "direction": direction}, 1)
