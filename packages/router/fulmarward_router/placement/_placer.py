"""The task that assigns layers to engines while this instance holds the lease."""

import asyncio
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass
from functools import partial

from fulmarward.observability import log_event
from fulmarward_core.catalogue import TargetCatalogue
from fulmarward_core.fleet import (
    EngineModel,
    LayerRange,
    TargetRecord,
    find_engine_misfit,
)
from fulmarward_core.isolation import ContactTable
from fulmarward_core.layers import (
    Assignment,
    LayerOrder,
    find_gaps,
    plan_layers,
    plan_repairs,
)
from fulmarward_core.suspicion import SuspicionTable
from fulmarward_router.placement._lease import LeaseKeeper
from fulmarward_router.ports import OrderOutcome, OrderResult, TargetDialect
from fulmarward_router.state import ConfigurationHolder

#: Seconds between two passes over the fleet.
RECONCILE_INTERVAL_S = 0.3

#: Seconds without a new target after which a fleet that holds no layers is planned as
#: a whole. Targets that start together register over some seconds, and a plan for the
#: first few of them leaves gaps.
SETTLE_DURATION_S = 1.3
#: Maximum seconds between the first target and that plan.
MAX_SETTLE_DURATION_S = 7.5

#: Seconds for which a pending order overrides its target's row in the store. An order
#: that was not answered may still be carried out seconds later.
PENDING_DURATION_S = 6.0

#: Seconds for which a gap must last before neighbours are given more layers: the first
#: applies while an unresponsive target may return, the second when the target is gone
#: or leaving. A leaving target serves for two more seconds, which lets its neighbours
#: become ready. Orders to spare targets also use the second: no capacity is lost.
MIN_GAP_DURATION_S = 3.0
MIN_CONFIRMED_GAP_DURATION_S = 0.3

#: Maximum share of a service's targets that are treated as leaving without notice.
#: Above it, the fault is more likely at the instance that reports it.
MAX_UNANNOUNCED_SHARE = 0.5

#: Timeout for reading a target's report before an order, in seconds.
REPORT_TIMEOUT_S = 0.5

#: Maximum number of concurrent orders.
MAX_ORDERS_IN_FLIGHT = 12


@dataclass(frozen=True, kw_only=True)
class _PendingOrder:
    """An order that the target's row does not reflect yet."""

    layers: LayerRange
    until: float
    #: Start time of the process that received the order.
    started_ms: int


@dataclass(frozen=True, kw_only=True)
class _LayerHolder:
    """A target with the layers that it holds or was ordered to hold."""

    target: TargetRecord
    layers: LayerRange


def _list_layer_holders(
    targets: Sequence[TargetRecord], pending: Mapping[str, LayerRange]
) -> list[_LayerHolder]:
    ranges = {target.name: target.layers for target in targets} | pending
    return [
        _LayerHolder(target=target, layers=layers)
        for target in targets
        if (layers := ranges[target.name]) is not None
    ]


def _overlap(one: LayerRange, other: LayerRange) -> bool:
    return one.start < other.end and other.start < one.end


class Placer:
    """Runs the placement of each engine service while this instance holds the lease.

    What belongs to a service is kept by its own `ServicePlacer`, and its passes run
    beside those of the others: slow targets of one hold up no repair of another.
    """

    def __init__(
        self,
        *,
        dialect: TargetDialect,
        lease: LeaseKeeper,
        configuration: ConfigurationHolder,
        catalogue: TargetCatalogue,
        suspicions: SuspicionTable,
        contacts: ContactTable,
        probe_targets: Callable[[Iterable[str]], None],
        count_routing_instances: Callable[[], int],
        read_clock: Callable[[], float],
    ) -> None:
        self._lease = lease
        self._configuration = configuration
        self._catalogue = catalogue
        self._contacts = contacts
        self._read_clock = read_clock
        #: Makes the placer of a service.
        self._make_service = partial(
            ServicePlacer,
            dialect=dialect,
            lease=lease,
            catalogue=catalogue,
            suspicions=suspicions,
            probe_targets=probe_targets,
            count_routing_instances=count_routing_instances,
            read_clock=read_clock,
        )
        self._services: dict[str, ServicePlacer] = {}
        #: Running passes by service.
        self._passes: dict[str, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Reconcile every engine service at a fixed interval until cancelled."""
        try:
            while True:
                await asyncio.sleep(RECONCILE_INTERVAL_S)
                self._begin_passes()
        finally:
            await self._end_passes()

    def _begin_passes(self) -> None:
        """Begin a pass over each service whose last one has ended."""
        current = self._configuration.current
        if current is None or not self._catalogue.is_known:
            return
        engines = {
            spec.name: spec.engine
            for spec in current.services.values()
            if spec.engine is not None and spec.engine.kinds
        }
        self._drop_services(engines.keys())
        if not self._lease.is_held():
            for placer in self._services.values():
                placer.forget()
            return
        for name, engine in engines.items():
            if name not in self._services:
                self._services[name] = self._make_service(service=name)
            placer = self._services[name]
            if not self._contacts.is_reached(name):
                placer.forget_gaps()
            elif name not in self._passes:
                task = asyncio.create_task(placer.try_reconcile(engine))
                self._passes[name] = task
                task.add_done_callback(lambda _, name=name: self._passes.pop(name))

    def _drop_services(self, names: Collection[str]) -> None:
        """Drop the services that are not named any more and have no open order."""
        now = self._read_clock()
        self._services = {
            name: placer
            for name, placer in self._services.items()
            if name in names or name in self._passes or placer.has_open_orders(now)
        }

    async def _end_passes(self) -> None:
        passes = list(self._passes.values())
        for task in passes:
            task.cancel()
        await asyncio.gather(*passes, return_exceptions=True)


class ServicePlacer:
    """Plans the layers of a fleet that holds none, and closes gaps in one that does.

    A peer whose own link is saturated reports healthy targets as unreachable. Acting on
    such reports would close gaps that do not exist, and a target whose layers change
    rejects the requests that run through it. So a target counts as a holder until this
    instance itself gets no answer from it. If a gap would open without a target that a
    peer reported, this instance probes it. A target that fails requests still runs and
    holds its layers.
    """

    def __init__(
        self,
        *,
        service: str,
        dialect: TargetDialect,
        lease: LeaseKeeper,
        catalogue: TargetCatalogue,
        suspicions: SuspicionTable,
        probe_targets: Callable[[Iterable[str]], None],
        count_routing_instances: Callable[[], int],
        read_clock: Callable[[], float],
    ) -> None:
        self._service = service
        self._dialect = dialect
        self._lease = lease
        self._catalogue = catalogue
        self._suspicions = suspicions
        #: Starts probes that determine which of the given targets are unreachable.
        self._probe_targets = probe_targets
        #: Returns the number of instances that choose paths.
        self._count_routing_instances = count_routing_instances
        self._read_clock = read_clock
        self._pending: dict[str, _PendingOrder] = {}
        self._first_seen: dict[str, float] = {}
        #: Since when each layer lacks a confirmed holder, by data centre.
        self._missing_since: dict[str, dict[int, float]] = {}
        #: Whether the last reconciliation failed with an internal error.
        self._is_failing = False
        #: Target processes (name, start time) to which this instance has sent an order.
        self._ordered: set[tuple[str, int]] = set()

    def forget(self) -> None:
        """Forget what was seen of the fleet, as another instance holds the lease."""
        self._first_seen.clear()
        self._missing_since.clear()

    def has_open_orders(self, now: float) -> bool:
        """Return whether a target may still carry out an order."""
        return any(now < item.until for item in self._pending.values())

    async def try_reconcile(self, engine: EngineModel) -> None:
        """Reconcile the service; an internal error leaves its layers as they are.

        Guards against a service that ends the lease holder, and then each successor.
        """
        try:
            await self._reconcile(engine)
        except Exception as error:
            if not self._is_failing:
                log_event(
                    "reconciliation_failed", exc_info=error, service=self._service
                )
            self._is_failing = True
        else:
            self._is_failing = False

    def forget_gaps(self) -> None:
        """Forget the gaps, as the targets do not answer this instance.

        Guards against moving layers as soon as they answer again: gaps that seemed to
        last for long may be none.
        """
        self._missing_since.clear()

    def _list_present(self, engine: EngineModel, now: float) -> list[TargetRecord]:
        """Return the targets in the store that fit the model and are not leaving."""
        return [
            record
            for record in self._catalogue.list_targets(now=now)
            if record.service == self._service
            and not record.is_leaving
            and find_engine_misfit(record, engine) is None
        ]

    def _list_targets(
        self, present: Sequence[TargetRecord], now: float
    ) -> list[TargetRecord]:
        """Return the targets that hold layers or are eligible for some."""
        refusing = self._list_refusing(present, now)
        records = [
            record
            for record in present
            if not self._suspicions.is_unreachable(record.name, now=now)
            and not self._is_reported_empty(record, now)
            and record.name not in refusing
        ]
        names = {record.name for record in records}
        for name in list(self._first_seen):
            if name not in names:
                del self._first_seen[name]
        for record in records:
            self._first_seen.setdefault(record.name, now)
        return records

    def _list_refusing(
        self, present: Sequence[TargetRecord], now: float
    ) -> frozenset[str]:
        """Return the targets presumed to be leaving while the store cannot tell.

        Returns none if they exceed `MAX_UNANNOUNCED_SHARE`.
        """
        if not self._catalogue.may_miss_leaving(now=now):
            return frozenset()
        refusals = self._suspicions.refusals
        names = [r.name for r in present if refusals.is_refusing(r.name, now=now)]
        if len(names) > len(present) * MAX_UNANNOUNCED_SHARE:
            return frozenset()
        return frozenset(names)

    def _is_reported_empty(self, record: TargetRecord, now: float) -> bool:
        """Return whether a target without layers was reported unreachable by a peer."""
        is_empty = record.layers is None and record.name not in self._pending
        return is_empty and self._suspicions.is_indirect(record.name, now=now)

    async def _reconcile(self, engine: EngineModel) -> None:
        now = self._read_clock()
        present = self._list_present(engine, now)
        targets = self._list_targets(present, now)
        self._drop_pending(targets, now)
        if not targets or not self._lease.is_held():
            return
        instances = self._count_routing_instances()
        pending = {name: item.layers for name, item in self._pending.items()}
        holders = _list_layer_holders(targets, pending)
        self._verify_reported_losses(engine, present, holders, now)
        is_empty_fleet = not pending and all(
            target.layers is None for target in targets
        )
        if is_empty_fleet:
            if not self._has_settled(targets, now):
                return
            orders = [
                LayerOrder(assignment=item, reason="first")
                for item in plan_layers(engine, targets, instances=instances)
            ]
        else:
            orders = plan_repairs(engine, targets, pending, instances=instances)
            by_name = {target.name: target for target in targets}
            # Unreachable targets may return with their layers.
            unreachable = [
                r for r in present if self._suspicions.is_unreachable(r.name, now=now)
            ]
            orders = [
                order
                for order in orders
                if order.reason == "empty"
                or self._is_due(
                    order,
                    by_name[order.assignment.target],
                    engine,
                    holders,
                    unreachable,
                    now,
                )
            ]
        await self._send_all(targets, orders)

    def _has_settled(self, targets: Sequence[TargetRecord], now: float) -> bool:
        seen = [self._first_seen[target.name] for target in targets]
        is_quiet = now - max(seen) >= SETTLE_DURATION_S
        return is_quiet or now - min(seen) >= MAX_SETTLE_DURATION_S

    def _drop_pending(self, targets: Sequence[TargetRecord], now: float) -> None:
        """Remove orders whose target shows the result, is gone or has restarted, and
        those that have expired.
        """
        by_name = {target.name: target for target in targets}
        for name, item in list(self._pending.items()):
            target = by_name.get(name)
            is_done = target is not None and target.layers == item.layers
            has_restarted = target is not None and target.started_ms != item.started_ms
            if is_done or has_restarted or target is None or now >= item.until:
                del self._pending[name]

    def _verify_reported_losses(
        self,
        engine: EngineModel,
        present: Sequence[TargetRecord],
        holders: Sequence[_LayerHolder],
        now: float,
    ) -> None:
        """Probe the targets that a peer reported unreachable, if a gap depends on them.

        The duration of a gap counts from the report, so that probing does not delay
        the repair of a real gap.
        """
        to_probe = [
            record.name for record in present if self._is_reported_empty(record, now)
        ]
        for data_centre in {item.target.data_centre for item in holders}:
            local = [item for item in holders if item.target.data_centre == data_centre]
            reported = [
                item.target.name
                for item in local
                if self._suspicions.is_indirect(item.target.name, now=now)
            ]
            confirmed = [
                item.layers for item in local if item.target.name not in reported
            ]
            missing = find_gaps(engine.layers, confirmed)
            self._record_missing(data_centre, missing, now)
            if missing != find_gaps(engine.layers, [item.layers for item in local]):
                to_probe += reported
        if to_probe:
            self._probe_targets(to_probe)

    def _record_missing(
        self, data_centre: str, gaps: Sequence[LayerRange], now: float
    ) -> None:
        previous = self._missing_since.get(data_centre, {})
        layers = [layer for gap in gaps for layer in range(gap.start, gap.end)]
        self._missing_since[data_centre] = {
            layer: previous.get(layer, now) for layer in layers
        }
        if previous.keys() != set(layers):
            log_event(
                "missing_layers_changed",
                service=self._service,
                data_centre=data_centre,
                missing=[f"{gap.start}-{gap.end}" for gap in gaps],
            )

    def _is_due(
        self,
        order: LayerOrder,
        target: TargetRecord,
        engine: EngineModel,
        holders: Sequence[_LayerHolder],
        unreachable: Sequence[TargetRecord],
        now: float,
    ) -> bool:
        """Return whether the gap that an order closes has lasted long enough."""
        data_centre = target.data_centre
        local = [
            item.layers for item in holders if item.target.data_centre == data_centre
        ]
        gaps = find_gaps(engine.layers, local)
        unreachable_layers = [
            record.layers
            for record in unreachable
            if record.data_centre == data_centre and record.layers is not None
        ]
        is_confirmed = find_gaps(engine.layers, local + unreachable_layers) == gaps
        wait_s = (
            MIN_CONFIRMED_GAP_DURATION_S
            if is_confirmed or order.reason == "spare"
            else MIN_GAP_DURATION_S
        )
        since = self._missing_since.get(data_centre, {})
        closed_gaps = [gap for gap in gaps if _overlap(gap, order.assignment.layers)]
        # An order that overlaps no gap shifts layers to make room for other orders.
        layers = [
            layer for gap in closed_gaps or gaps for layer in range(gap.start, gap.end)
        ]
        all_missing_since = max(
            (since.get(layer, now) for layer in layers), default=now
        )
        return now - all_missing_since >= wait_s

    async def _send_all(
        self, targets: Sequence[TargetRecord], orders: Sequence[LayerOrder]
    ) -> None:
        by_name = {target.name: target for target in targets}
        limit = asyncio.Semaphore(MAX_ORDERS_IN_FLIGHT)

        async def send(order: LayerOrder) -> None:
            async with limit:
                await self._send(by_name[order.assignment.target], order)

        await asyncio.gather(*(send(order) for order in orders))

    async def _send(self, target: TargetRecord, order: LayerOrder) -> None:
        """Send one order if the lease is still held."""
        if not self._lease.is_held():
            return
        layers = order.assignment.layers
        accepted = await self._count_accepted(target)
        if accepted is None or not self._lease.is_held():
            return
        fencing = self._lease.fencing
        self._pending[target.name] = _PendingOrder(
            layers=layers,
            until=self._read_clock() + PENDING_DURATION_S,
            started_ms=target.started_ms,
        )
        result = await self._dialect.order_layers(
            target, layers, fencing=fencing, orders_accepted=accepted
        )
        self._apply_result(target, order.assignment, result)
        log_event(
            "layers_ordered",
            target=target.name,
            kind=target.kind,
            data_centre=target.data_centre,
            held=None if target.layers is None else str(target.layers),
            layers=f"{layers.start}-{layers.end}",
            reason=order.reason,
            fencing=fencing,
            orders_accepted=accepted,
            outcome=result.outcome.value,
        )

    async def _count_accepted(self, target: TargetRecord) -> int | None:
        """Return how many orders a target has accepted, `None` without an answer.

        A target without layers that received no order since its start has accepted
        none. Each order carries this number as its precondition, so that a delayed
        order cannot override a later one.
        """
        key = (target.name, target.started_ms)
        if target.layers is None and key not in self._ordered:
            self._ordered.add(key)
            return 0
        report = await self._dialect.read_report(target, REPORT_TIMEOUT_S)
        return None if report is None else report.orders_accepted

    def _apply_result(
        self, target: TargetRecord, assignment: Assignment, result: OrderResult
    ) -> None:
        if result.outcome is OrderOutcome.FENCED:
            self._lease.abandon()
        if result.outcome not in (OrderOutcome.TAKEN, OrderOutcome.UNKNOWN):
            self._pending.pop(target.name, None)
