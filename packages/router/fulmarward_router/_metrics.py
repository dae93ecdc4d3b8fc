"""Counters and histograms of a routing instance."""

import time
from collections.abc import Mapping, Sequence
from dataclasses import asdict, dataclass, field

from aioprometheus import Counter, Gauge, Histogram, Registry

from fulmarward.http import CloseReason
from fulmarward.observability import count_dropped_lines, make_metric_factory
from fulmarward_core.isolation import ContactTable
from fulmarward_core.poison import PoisonFinding, Verdict
from fulmarward_core.suspicion import SUSPICION_REASONS
from fulmarward_core.target_limits import LimitTable
from fulmarward_core.waits import PromiseCounts
from fulmarward_router._processor import ProcessorMeter
from fulmarward_router.exchange import RequestState

#: Upper bounds of the histogram buckets, in seconds.
BUCKETS_S = [0.01, 0.03, 0.06, 0.1, 0.2, 0.35, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0]


@dataclass(frozen=True, kw_only=True)
class RouterMetrics:
    """The metrics of one instance."""

    registry: Registry
    #: Requests by `service` and `outcome`.
    requests: Counter
    #: Responses that had started and were not completed, by `service` and `cause`.
    cuts: Counter
    #: Responses that had started and whose callers left, by `service` and `cause`.
    left_responses: Counter
    #: Attempts at targets beyond the first, by `service`.
    retries: Counter
    #: Retries that instances lend each other, by `service` and `outcome` here.
    retry_loans: Counter
    #: Streams rerouted around an unreachable target or resumed elsewhere, by `how`.
    moves: Counter
    #: Attempts at streams that ended without a complete response, by `service` and
    #: `progress` of the response.
    broken_attempts: Counter
    #: Targets that crashed under a request, counted for each such request, by `service`
    #: and `progress`.
    crashes: Counter
    #: Patterns whose requests are rejected, by `verdict`.
    rejected_crash_patterns: Gauge
    #: Targets that have named a limit, and requests sent to such targets.
    limited_targets: Gauge
    limited_requests: Counter
    #: Targets that want no requests of this instance now.
    backed_off_targets: Gauge
    #: Requests that got no permit for the target chosen first.
    throttled_requests: Counter
    #: Requests that were relayed to a peer, by `service` and `outcome` there.
    relays: Counter
    #: Calls to the store and to targets, by `call`, `status` and the `subsystem` that
    #: made them.
    calls: Counter
    #: Bytes exchanged with peers, by `direction`.
    peer_bytes: Counter
    #: Messages received from peers, by `kind`.
    peer_messages: Counter
    #: Failures of background tasks, by `duty`.
    task_failures: Counter
    #: Seconds from arrival to the first event and to the end, by `service`.
    first_event: Histogram
    request_duration: Histogram
    #: Seconds for which each `subsystem`, and each `activity`, kept the loop busy.
    subsystem_time: Counter
    activity_time: Counter
    #: CPU time of the whole process, in seconds.
    process_time: Counter
    #: Configuration in force, whether a later row was refused, targets known, log lines
    #: dropped.
    configuration: Gauge
    configuration_refused: Gauge
    targets: Gauge
    dropped_lines: Gauge
    #: The store's era, and how often it has risen since the start.
    store_era: Gauge
    store_restores: Gauge
    #: 1 while no target answers, by `service`.
    unreached: Gauge
    #: Services whose gauge has been set; it is reset when they are reached again.
    unreached_services: set[str] = field(default_factory=set)
    #: Targets that get no new work, by `reason`.
    excluded_targets: Gauge
    #: Rows that describe no usable target, by `reason`.
    refused_rows: Counter
    #: Responses of targets, peers and the store that exceeded a `limit`.
    rejected_responses: Counter
    #: Connections of callers that were closed as they were outside the limits, by
    #: `reason`, and the bytes that all of them hold.
    closed_connections: Counter
    connection_bytes: Gauge
    #: Promises to rejected callers, by `outcome`: the fields of `PromiseCounts`.
    return_promises: Counter
    #: Seconds of the paths that served a whole answer, by `service` and `kind`:
    #: `estimated` or `actual`.
    path_duration: Counter
    #: Requests that the admission by urgency rejected, by `service`, `urgency` and
    #: `cause`: the events `admission_denied`.
    denials: Counter
    #: Requests whose first path uses targets of another data centre, by `service` and
    #: `overflow`: whether the service overflows at this instance.
    remote_requests: Counter
    #: Seconds from asking for a path to its choice, by `service` and `urgency`, of
    #: requests of services with classes.
    admission_wait: Histogram


def make_router_metrics() -> RouterMetrics:
    """Return new metrics with their own registry."""
    factory = make_metric_factory(BUCKETS_S)
    return RouterMetrics(
        registry=factory.registry,
        requests=factory.count("requests_total", "Requests, by service and outcome."),
        cuts=factory.count(
            "cut_responses_total", "Started responses not completed, by cause."
        ),
        left_responses=factory.count(
            "left_responses_total", "Started responses left by their callers, by cause."
        ),
        retries=factory.count(
            "retries_total", "Attempts beyond the first, by service."
        ),
        retry_loans=factory.count(
            "retry_loans_total", "Retries lent, borrowed or denied, by service."
        ),
        moves=factory.count("moves_total", "Streams moved, by how."),
        broken_attempts=factory.count(
            "broken_attempts_total",
            "Attempts without a complete response, by service and progress.",
        ),
        crashes=factory.count(
            "crashed_attempts_total",
            "Attempts whose target crashed, by service and progress.",
        ),
        rejected_crash_patterns=factory.gauge(
            "rejected_crash_patterns",
            "Patterns of requests that are rejected, by verdict.",
        ),
        limited_targets=factory.gauge(
            "limited_targets", "Targets that have named a limit."
        ),
        backed_off_targets=factory.gauge(
            "backed_off_targets", "Targets that want no requests of this instance."
        ),
        limited_requests=factory.count(
            "limited_requests_total", "Requests sent to targets with a limit."
        ),
        throttled_requests=factory.count(
            "throttled_requests_total", "Requests without a permit for their target."
        ),
        relays=factory.count(
            "relays_total", "Requests relayed to a peer, by service and outcome."
        ),
        calls=factory.count(
            "calls_total", "Calls to the store and to targets, by subsystem."
        ),
        peer_bytes=factory.count("peer_bytes_total", "Bytes between instances."),
        peer_messages=factory.count(
            "peer_messages_total", "Messages received from instances, by kind."
        ),
        task_failures=factory.count(
            "task_failures_total", "Failures of background tasks, by duty."
        ),
        first_event=factory.histogram(
            "first_event_seconds", "Time to the first event."
        ),
        request_duration=factory.histogram(
            "request_seconds", "Time to the end of the answer."
        ),
        subsystem_time=factory.count(
            "subsystem_seconds_total", "Busy time of the loop, by subsystem."
        ),
        activity_time=factory.count(
            "activity_seconds_total", "Busy time of the loop, by activity."
        ),
        process_time=factory.count("process_seconds_total", "Processor time used."),
        configuration=factory.gauge("configuration_version", "Configuration in force."),
        configuration_refused=factory.gauge(
            "configuration_refused", "Whether a later configuration was refused."
        ),
        targets=factory.gauge("targets", "Targets known."),
        dropped_lines=factory.gauge(
            "log_lines_dropped", "Log lines dropped since the start."
        ),
        store_era=factory.gauge("store_era", "Era of the store."),
        store_restores=factory.gauge(
            "store_restores", "Returns of the store from a copy since the start."
        ),
        unreached=factory.gauge("unreached", "1 while no target answers, by service."),
        excluded_targets=factory.gauge(
            "excluded_targets", "Targets without new work, by reason."
        ),
        refused_rows=factory.count(
            "refused_target_rows_total", "Rows without a usable target, by reason."
        ),
        rejected_responses=factory.count(
            "rejected_responses_total", "Responses that exceeded a limit, by limit."
        ),
        closed_connections=factory.count(
            "closed_connections_total", "Connections outside the limits, by reason."
        ),
        connection_bytes=factory.gauge(
            "connection_bytes", "Bytes that connections of callers hold."
        ),
        return_promises=factory.count(
            "return_promises_total", "Promises to rejected callers, by outcome."
        ),
        path_duration=factory.count(
            "path_seconds_total",
            "Durations of paths that served a whole answer, estimated and actual.",
        ),
        denials=factory.count(
            "admission_denials_total",
            "Requests rejected for want of capacity, by service, urgency and cause.",
        ),
        remote_requests=factory.count(
            "remote_requests_total",
            "Requests sent to other data centres, by service and overflow.",
        ),
        admission_wait=factory.histogram(
            "admission_wait_seconds",
            "Time for which admitted requests waited, by service and urgency.",
        ),
    )


def observe_request(
    metrics: RouterMetrics, state: RequestState | None, outcome: str, took_s: float
) -> None:
    """Record a finished request."""
    kind = outcome.partition(":")[0]
    if state is None:
        metrics.requests.inc({"service": "", "outcome": kind})
        return
    labels = {"service": state.service}
    metrics.requests.inc({**labels, "outcome": kind})
    if state.cut_cause is not None:
        metrics.cuts.inc({**labels, "cause": state.cut_cause.value})
    if state.leave_cause is not None:
        metrics.left_responses.inc({**labels, "cause": state.leave_cause.value})
    if state.attempts > 1:
        metrics.retries.add(labels, state.attempts - 1)
    if state.repaths:
        metrics.moves.add({"how": "path"}, state.repaths)
    if state.resumes:
        metrics.moves.add({"how": "resumed"}, state.resumes)
    if state.first_event_at is not None:
        metrics.first_event.observe(labels, state.first_event_at - state.arrived_at)
    metrics.request_duration.observe(labels, took_s)


def count_denial(
    metrics: RouterMetrics, service: str, urgency: int, cause: str
) -> None:
    """Count a request that the admission by urgency rejected."""
    labels = {"service": service, "urgency": str(urgency), "cause": cause}
    metrics.denials.inc(labels)


def count_remote(metrics: RouterMetrics, service: str, is_overflowing: bool) -> None:
    """Count a request whose path uses targets of another data centre."""
    labels = {"service": service, "overflow": str(is_overflowing).lower()}
    metrics.remote_requests.inc(labels)


def observe_admission_wait(
    metrics: RouterMetrics, service: str, urgency: int, waited_s: float
) -> None:
    """Record for how long an admitted request waited."""
    labels = {"service": service, "urgency": str(urgency)}
    metrics.admission_wait.observe(labels, waited_s)


def observe_path_duration(
    metrics: RouterMetrics, service: str, estimated_s: float, actual_s: float
) -> None:
    """Record the estimated and the actual duration of a path."""
    for kind, seconds in (("estimated", estimated_s), ("actual", actual_s)):
        metrics.path_duration.add({"service": service, "kind": kind}, seconds)


def refresh_metrics(
    metrics: RouterMetrics,
    *,
    meter: ProcessorMeter,
    peer_bytes: Mapping[str, int],
    peer_messages: Mapping[str, int],
    version: int,
    targets: int,
    store_era: int | None,
    store_restores: int,
    is_configuration_refused: bool,
    contacts: ContactTable,
    excluded_targets: Mapping[str, int],
    poison_findings: Sequence[PoisonFinding],
    limits: LimitTable,
    backed_off_targets: int,
    rejected_responses: Mapping[str, int],
    closed_connections: Mapping[CloseReason, int],
    connection_bytes: int,
    promises: PromiseCounts,
) -> None:
    """Update the metrics that are computed only when they are read."""
    for direction, size in peer_bytes.items():
        metrics.peer_bytes.set({"direction": direction}, size)
    for kind, count in peer_messages.items():
        metrics.peer_messages.set({"kind": kind}, count)
    for subsystem, seconds in meter.subsystems.items():
        metrics.subsystem_time.set({"subsystem": subsystem}, seconds)
    for activity, seconds in meter.activities.items():
        metrics.activity_time.set({"activity": activity}, seconds)
    metrics.process_time.set({}, time.process_time())
    metrics.configuration.set({}, version)
    metrics.configuration_refused.set({}, int(is_configuration_refused))
    metrics.targets.set({}, targets)
    if store_era is not None:
        metrics.store_era.set({}, store_era)
    metrics.store_restores.set({}, store_restores)
    metrics.dropped_lines.set({}, count_dropped_lines())
    metrics.unreached_services.update(contacts.list_unreached())
    for service in metrics.unreached_services:
        metrics.unreached.set(
            {"service": service}, int(not contacts.is_reached(service))
        )
    for verdict in Verdict:
        count = sum(
            len(finding.patterns)
            for finding in poison_findings
            if finding.verdict is verdict
        )
        metrics.rejected_crash_patterns.set({"verdict": verdict.value}, count)
    limited = [item for item in limits.list_known().values() if item.per_s is not None]
    metrics.limited_targets.set({}, len(limited))
    metrics.backed_off_targets.set({}, backed_off_targets)
    for outcome, count in asdict(promises).items():
        metrics.return_promises.set({"outcome": outcome}, count)
    for limit, count in rejected_responses.items():
        metrics.rejected_responses.set({"limit": limit}, count)
    for reason, count in closed_connections.items():
        metrics.closed_connections.set({"reason": reason.value}, count)
    metrics.connection_bytes.set({}, connection_bytes)
    for reason in SUSPICION_REASONS:
        count = excluded_targets.get(reason, 0)
        metrics.excluded_targets.set({"reason": reason}, count)
