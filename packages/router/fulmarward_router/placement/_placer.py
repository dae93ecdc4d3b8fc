"""The task that gives engines their layers while this instance holds the lease."""

import asyncio
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass

from fulmarward.observability import log_event
from fulmarward_core.catalogue import TargetCatalogue
from fulmarward_core.fleet import EngineModel, LayerRange, TargetRecord
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

#: Seconds between two looks at the fleet.
LOOK_S = 0.3

#: Seconds without a new target after which a fleet that holds nothing is planned as
#: one. Targets that start together register over some seconds, and a plan of the first
#: few leaves gaps.
SETTLE_DURATION_S = 1.3
#: Seconds after the first target by which the plan is made in any case.
MAX_SETTLE_DURATION_S = 7.5

#: Seconds for which an order counts as pending before its target's row is believed
#: again; one without an answer may be carried out seconds later.
PENDING_DURATION_S = 6.0

#: Seconds for which a gap must last before neighbours are given more layers: where a
#: target that does not answer may return, and where it is gone or leaving. A leaving
#: target serves on for two seconds, in which its neighbours can be ready. A spare one
#: is moved at once, since nothing is given up for it.
MIN_GAP_DURATION_S = 3.0
MIN_SURE_GAP_DURATION_S = 0.3

#: Share of a service's targets that may count as leaving without notice. Beyond it the
#: fault is more likely at the instance that reports it.
MAX_UNANNOUNCED_SHARE = 0.5

#: Seconds for a target's report before an order.
REPORT_TIMEOUT_S = 0.5

#: Upper bound on orders in flight.
MAX_ORDERS_IN_FLIGHT = 12


@dataclass(frozen=True, kw_only=True)
class _Pending:
    """An order whose effect does not show yet."""

    layers: LayerRange
    until: float
    #: Start of the target that it was given to.
    started_ms: int


@dataclass(frozen=True, kw_only=True)
class _Held:
    """The layers that a target holds, or was ordered to hold."""

    target: TargetRecord
    layers: LayerRange


def _list_held(
    targets: Sequence[TargetRecord], pending: Mapping[str, LayerRange]
) -> list[_Held]:
    ranges = {target.name: target.layers for target in targets} | pending
    return [
        _Held(target=target, layers=layers)
        for target in targets
        if (layers := ranges[target.name]) is not None
    ]


def _overlap(one: LayerRange, other: LayerRange) -> bool:
    return one.start < other.end and other.start < one.end


class Placer:
    """Plans a fleet that holds nothing, and repairs one that does.

    Guards against a peer whose own link is full: it tells that sound targets are lost,
    there are gaps that are none, and a target whose layers change refuses what runs
    through it. So a target counts as a holder until it is seen here not to answer, and
    one that a peer lost is asked as soon as a gap would open without it. One that
    fails requests is there, and holds its layers.
    """

    def __init__(
        self,
        *,
        dialect: TargetDialect,
        lease: LeaseKeeper,
        configuration: ConfigurationHolder,
        catalogue: TargetCatalogue,
        suspicions: SuspicionTable,
        ask: Callable[[Iterable[str]], None],
        count_choosers: Callable[[], int],
        read_clock: Callable[[], float],
    ) -> None:
        self._dialect = dialect
        self._lease = lease
        self._configuration = configuration
        self._catalogue = catalogue
        self._suspicions = suspicions
        #: Begins to find out which of some targets are lost.
        self._ask = ask
        #: Returns how many instances choose paths.
        self._count_choosers = count_choosers
        self._read_clock = read_clock
        self._pending: dict[str, _Pending] = {}
        self._first_seen: dict[str, float] = {}
        #: Since when layers lack a holder beyond doubt, by service and data centre.
        self._missing_since: dict[tuple[str, str], dict[int, float]] = {}
        #: Starts of targets that this instance has given an order.
        self._ordered: set[tuple[str, int]] = set()

    async def run(self) -> None:
        """Look at the fleet again and again until cancelled."""
        while True:
            await asyncio.sleep(LOOK_S)
            current = self._configuration.current
            if current is None or not self._catalogue.is_known:
                continue
            if not self._lease.is_held():
                self._first_seen.clear()
                self._missing_since.clear()
                continue
            for spec in current.services.values():
                if spec.engine is not None and spec.engine.kinds:
                    await self._look(spec.name, spec.engine)

    def _list_present(self, service: str, now: float) -> list[TargetRecord]:
        """Return the targets that the store lists and that are not leaving."""
        return [
            record
            for record in self._catalogue.list_targets(now=now)
            if record.service == service and not record.is_leaving
        ]

    def _list_targets(
        self, present: Sequence[TargetRecord], now: float
    ) -> list[TargetRecord]:
        """Return the targets that hold layers, or may be given some."""
        unseen = self._list_unseen(present, now)
        records = [
            record
            for record in present
            if not self._suspicions.is_unreachable(record.name, now=now)
            and not self._is_reported_empty(record, now)
            and record.name not in unseen
        ]
        names = {record.name for record in records}
        for name in list(self._first_seen):
            if name not in names:
                del self._first_seen[name]
        for record in records:
            self._first_seen.setdefault(record.name, now)
        return records

    def _list_unseen(
        self, present: Sequence[TargetRecord], now: float
    ) -> frozenset[str]:
        """Return the targets that are leaving while the store cannot say so.

        Nobody is believed to when too many would be.
        """
        if not self._catalogue.may_lack_leaving(now=now):
            return frozenset()
        refusals = self._suspicions.refusals
        names = [r.name for r in present if refusals.is_refusing(r.name, now=now)]
        if len(names) > len(present) * MAX_UNANNOUNCED_SHARE:
            return frozenset()
        return frozenset(names)

    def _is_reported_empty(self, record: TargetRecord, now: float) -> bool:
        """Return whether a target holds nothing and is unreachable by report."""
        is_empty = record.layers is None and record.name not in self._pending
        return is_empty and self._suspicions.is_indirect(record.name, now=now)

    async def _look(self, service: str, engine: EngineModel) -> None:
        now = self._read_clock()
        present = self._list_present(service, now)
        targets = self._list_targets(present, now)
        self._drop_pending(targets, now)
        if not targets or not self._lease.is_held():
            return
        instances = self._count_choosers()
        pending = {name: item.layers for name, item in self._pending.items()}
        held = _list_held(targets, pending)
        self._doubt_told(service, engine, present, held, now)
        is_blank = not pending and all(target.layers is None for target in targets)
        if is_blank:
            if not self._has_settled(targets, now):
                return
            orders = [
                LayerOrder(assignment=item, reason="first")
                for item in plan_layers(engine, targets, instances=instances)
            ]
        else:
            orders = plan_repairs(engine, targets, pending, instances=instances)
            by_name = {target.name: target for target in targets}
            # Those that do not answer may be back.
            lost = [
                r for r in present if self._suspicions.is_unreachable(r.name, now=now)
            ]
            orders = [
                order
                for order in orders
                if order.reason == "empty"
                or self._is_due(
                    order, by_name[order.assignment.target], engine, held, lost, now
                )
            ]
        await self._send_all(targets, orders)

    def _has_settled(self, targets: Sequence[TargetRecord], now: float) -> bool:
        seen = [self._first_seen[target.name] for target in targets]
        is_quiet = now - max(seen) >= SETTLE_DURATION_S
        return is_quiet or now - min(seen) >= MAX_SETTLE_DURATION_S

    def _drop_pending(self, targets: Sequence[TargetRecord], now: float) -> None:
        """Forget orders that show in their target's row, lasted too long, or whose
        target began anew.
        """
        by_name = {target.name: target for target in targets}
        for name, item in list(self._pending.items()):
            target = by_name.get(name)
            is_done = target is not None and target.layers == item.layers
            is_anew = target is not None and target.started_ms != item.started_ms
            if is_done or is_anew or target is None or now >= item.until:
                del self._pending[name]

    def _doubt_told(
        self,
        service: str,
        engine: EngineModel,
        present: Sequence[TargetRecord],
        held: Sequence[_Held],
        now: float,
    ) -> None:
        """Ask the targets that a peer lost, and on which something depends here.

        The time of a gap begins with the word, so that one that is true costs no more
        for being made sure of.
        """
        asked = [
            record.name for record in present if self._is_reported_empty(record, now)
        ]
        for data_centre in {item.target.data_centre for item in held}:
            near = [item for item in held if item.target.data_centre == data_centre]
            told = [
                item.target.name
                for item in near
                if self._suspicions.is_indirect(item.target.name, now=now)
            ]
            sure = [item.layers for item in near if item.target.name not in told]
            missing = find_gaps(engine.layers, sure)
            self._note_missing((service, data_centre), missing, now)
            if missing != find_gaps(engine.layers, [item.layers for item in near]):
                asked += told
        if asked:
            self._ask(asked)

    def _note_missing(
        self, key: tuple[str, str], gaps: Sequence[LayerRange], now: float
    ) -> None:
        known = self._missing_since.get(key, {})
        layers = [layer for gap in gaps for layer in range(gap.start, gap.end)]
        self._missing_since[key] = {layer: known.get(layer, now) for layer in layers}
        if known.keys() != set(layers):
            service, data_centre = key
            log_event(
                "layers_missing",
                service=service,
                data_centre=data_centre,
                missing=[f"{gap.start}-{gap.end}" for gap in gaps],
            )

    def _is_due(
        self,
        order: LayerOrder,
        target: TargetRecord,
        engine: EngineModel,
        held: Sequence[_Held],
        lost: Sequence[TargetRecord],
        now: float,
    ) -> bool:
        """Whether an order is to be sent now: the gap must have lasted first."""
        data_centre = target.data_centre
        near = [item.layers for item in held if item.target.data_centre == data_centre]
        gaps = find_gaps(engine.layers, near)
        doubted = [
            record.layers
            for record in lost
            if record.data_centre == data_centre and record.layers is not None
        ]
        is_sure = find_gaps(engine.layers, near + doubted) == gaps
        wait_s = (
            MIN_SURE_GAP_DURATION_S
            if is_sure or order.reason == "spare"
            else MIN_GAP_DURATION_S
        )
        since = self._missing_since.get((target.service, data_centre), {})
        closed = [gap for gap in gaps if _overlap(gap, order.assignment.layers)]
        # One that shifts makes way for others, beside the gap itself.
        layers = [
            layer for gap in closed or gaps for layer in range(gap.start, gap.end)
        ]
        begun_at = max((since.get(layer, now) for layer in layers), default=now)
        return now - begun_at >= wait_s

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
        """Send one order, if the lease is still held right now."""
        if not self._lease.is_held():
            return
        layers = order.assignment.layers
        accepted = await self._count_accepted(target)
        if accepted is None or not self._lease.is_held():
            return
        fencing = self._lease.fencing
        self._pending[target.name] = _Pending(
            layers=layers,
            until=self._read_clock() + PENDING_DURATION_S,
            started_ms=target.started_ms,
        )
        result = await self._dialect.order_layers(
            target, layers, fencing=fencing, orders_accepted=accepted
        )
        self._take_result(target, order.assignment, result)
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
        """Return how many orders a target has accepted, `None` if it cannot be asked.

        One that holds nothing and was given no order since it started has taken none.
        An order says this number, so that one carried out late changes nothing that
        was ordered after it.
        """
        key = (target.name, target.started_ms)
        if target.layers is None and key not in self._ordered:
            self._ordered.add(key)
            return 0
        report = await self._dialect.read_report(target, REPORT_TIMEOUT_S)
        return None if report is None else report.orders_accepted

    def _take_result(
        self, target: TargetRecord, assignment: Assignment, result: OrderResult
    ) -> None:
        if result.outcome is OrderOutcome.FENCED:
            self._lease.drop()
        if result.outcome not in (OrderOutcome.TAKEN, OrderOutcome.UNKNOWN):
            self._pending.pop(target.name, None)
