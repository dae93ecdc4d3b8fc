import asyncio
import contextlib
import unittest
from dataclasses import dataclass, replace

from fulmarward_core.catalogue import KnownRow, TargetCatalogue
from fulmarward_core.fleet import LayerRange, ServiceSpec
from fulmarward_core.isolation import ContactTable
from fulmarward_core.layers import plan_layers
from fulmarward_core.layers.tests.fleets import ENGINE, make_fleet
from fulmarward_core.suspicion import SuspicionTable
from fulmarward_router.exchange import FailureDetector
from fulmarward_router.placement import Placer
from fulmarward_router.ports import OrderOutcome, OrderResult, TargetReport
from fulmarward_router.tests._simulated_time import run_simulated

#: A fleet with spare targets, and one in which neighbours must close a gap.
_SPARE = {"a": {"large": 5, "middle": 4, "small": 6}}
_TIGHT = {"a": {"middle": 8, "small": 4}, "b": {"large": 6}}

#: Maximum seconds from a report to the order: two passes and a margin.
_TWO_PASSES_S = 0.65

#: Seconds between two heartbeats of a peer, each of which repeats its reports.
_HEARTBEAT_INTERVAL_S = 0.4


class _Lease:
    fencing = 7

    def is_held(self):
        return True

    def abandon(self):
        raise AssertionError("the lease was abandoned")


@dataclass(frozen=True)
class _Configuration:
    services: dict


@dataclass(frozen=True)
class _Holder:
    current: _Configuration


class _Dialect:
    """Targets that accept orders; the unresponsive ones never answer.

    If `receives_answers` is false, probes time out, while longer calls succeed.
    """

    def __init__(self, unresponsive, receives_answers):
        self._unresponsive = unresponsive
        self._receives_answers = receives_answers
        self.probed = []
        self.orders = []

    async def is_accepting(self, record, timeout_s):
        return await self.is_responding(record, timeout_s)

    async def is_responding(self, record, timeout_s):
        self.probed.append(record.name)
        if not self._receives_answers:
            await asyncio.sleep(timeout_s)
            return False
        return await self.read_report(record, timeout_s) is not None

    async def read_report(self, record, timeout_s):
        if record.name in self._unresponsive:
            await asyncio.sleep(timeout_s)
            return None
        return TargetReport(layers=record.layers, orders_accepted=1, pace=1.0)

    async def order_layers(self, record, layers, *, fencing, orders_accepted):
        self.orders.append((asyncio.get_running_loop().time(), record.name, layers))
        return OrderResult(outcome=OrderOutcome.TAKEN)


def _make_placed_fleet(counts):
    fleet = make_fleet(counts)
    plan = plan_layers(ENGINE, fleet, instances=4)
    layers = {item.target: item.layers for item in plan}
    return [replace(target, layers=layers[target.name]) for target in fleet]


def _remove_layers(fleet, names):
    return [replace(t, layers=None) if t.name in names else t for t in fleet]


def _make_rows(fleet):
    return [
        KnownRow(name=item.name, version=1, value=b"-", record=item, heard_at=100.0)
        for item in fleet
    ]


class _Instance:
    """The lease holder, with a peer that reports unreachable targets."""

    def __init__(
        self, read_clock, fleet, unresponsive, receives_answers, other_services
    ):
        self.read_clock = read_clock
        self.table = SuspicionTable()
        self.dialect = _Dialect(unresponsive, receives_answers)
        catalogue = TargetCatalogue()
        catalogue.apply_full_read(_make_rows(fleet), 1, now=read_clock())
        self.failure_detector = FailureDetector(
            dialect=self.dialect,
            catalogue=catalogue,
            suspicions=self.table,
            contacts=ContactTable(),
            read_clock=read_clock,
            notify_peers=lambda: None,
        )
        pool = ServiceSpec(name="pool", engine=ENGINE)
        self.placer = Placer(
            dialect=self.dialect,
            lease=_Lease(),
            configuration=_Holder(_Configuration({**other_services, "pool": pool})),
            catalogue=catalogue,
            suspicions=self.table,
            contacts=ContactTable(),
            probe_targets=self.failure_detector.probe,
            count_routing_instances=lambda: 4,
            read_clock=read_clock,
        )

    async def run(self, seconds, on_heartbeat):
        """Run for some seconds; call `on_heartbeat` at each heartbeat of the peer."""
        tasks = [
            asyncio.create_task(self.placer.run()),
            asyncio.create_task(self.failure_detector.run()),
        ]
        self.began_at = self.read_clock()
        while self.read_clock() - self.began_at < seconds:
            on_heartbeat(self)
            await asyncio.sleep(_HEARTBEAT_INTERVAL_S)
        for task in tasks:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task

    def list_orders(self):
        """Return seconds since the first report, target and layers of each order."""
        return [
            (round(at - self.began_at, 3), name, f"{layers.start}-{layers.end}")
            for at, name, layers in self.dialect.orders
        ]


def _run(
    counts,
    on_heartbeat,
    *,
    unresponsive=(),
    receives_answers=True,
    empty=(),
    seconds=5.0,
    other_services=(),
    others=(),
):
    async def work(read_clock):
        fleet = [*_remove_layers(_make_placed_fleet(counts), empty), *others]
        instance = _Instance(
            read_clock, fleet, unresponsive, receives_answers, dict(other_services)
        )
        await instance.run(seconds, on_heartbeat)
        return instance

    return run_simulated(work)


def _report_losses(*names):
    """Return a heartbeat handler that reports targets as unreachable."""

    def on_heartbeat(instance):
        for name in names:
            now = instance.read_clock()
            instance.table.record_indirect_failure(name, duration_s=2.0, now=now)

    return on_heartbeat


class ReportedLossesTest(unittest.TestCase):
    def test_false_report_moves_no_layers(self):
        # An instance with a saturated link reports healthy targets as unreachable. The
        # lease holder used to see a gap that did not exist and, after two passes, to
        # move the layers of a target, which then rejected the requests that ran
        # through it: callers got 421 and 503 although all targets were healthy.
        instance = _run(_SPARE, _report_losses("a-large-4"))
        self.assertEqual(instance.list_orders(), [])
        # A target that answered is not probed again while its answer is valid.
        self.assertLessEqual(instance.dialect.probed.count("a-large-4"), 3)

    def test_target_that_does_not_fit_the_model_gets_no_order(self):
        """Guards against one row that keeps all layers of a service where they are."""
        fleet = _make_placed_fleet(_SPARE)
        beyond = LayerRange(start=ENGINE.layers + 1, end=ENGINE.layers + 9)
        for changes in ({"layers": beyond}, {"kind": "unheard of", "layers": None}):
            odd = replace(fleet[0], name="odd", **changes)
            with self.subTest(changes):
                instance = _run(
                    _SPARE, _report_losses(), empty=["a-large-4"], others=[odd]
                )
                ordered = [name for _, name, _ in instance.list_orders()]
                self.assertEqual(ordered, ["a-large-4"])

    def test_reported_target_that_closes_no_gap_is_not_probed(self):
        instance = _run(_SPARE, _report_losses("a-small-2"))
        self.assertEqual(instance.dialect.probed, [])

    def test_reported_target_without_layers_is_probed_before_it_gets_any(self):
        for unresponsive, expected in (
            ([], ["a-large-4"]),
            (["a-large-4"], ["a-middle-0"]),
        ):
            with self.subTest(unresponsive=unresponsive):
                instance = _run(
                    _SPARE,
                    _report_losses("a-large-4"),
                    unresponsive=unresponsive,
                    empty=["a-large-4"],
                )
                self.assertEqual([o[1] for o in instance.list_orders()], expected)

    def test_false_reports_on_all_targets_move_no_layers(self):
        names = [target.name for target in _make_placed_fleet(_SPARE)]
        self.assertEqual(_run(_SPARE, _report_losses(*names)).list_orders(), [])

    def test_target_that_fails_requests_keeps_its_layers(self):
        # A target that answers with errors still holds its layers. It is excluded for
        # three seconds, whereas moving its layers would take it away for longer.
        def on_heartbeat(instance):
            instance.table.record_error("a-large-4", now=instance.read_clock())

        self.assertEqual(_run(_SPARE, on_heartbeat).list_orders(), [])

    def test_lease_holder_without_probe_answers_moves_no_layers(self):
        instance = _run(_SPARE, _report_losses("a-large-4"), receives_answers=False)
        self.assertEqual(instance.list_orders(), [])

    def test_unresponsive_target_is_replaced_after_two_passes(self):
        instance = _run(_SPARE, _report_losses("a-large-4"), unresponsive=["a-large-4"])
        [(after_s, name, layers)] = instance.list_orders()
        self.assertEqual((name, layers), ("a-middle-0", "71-80"))
        self.assertLessEqual(after_s, _TWO_PASSES_S)

    def test_service_that_cannot_be_planned_for_delays_no_other(self):
        """Guards against a service that ends one lease holder after the other."""
        broken = ServiceSpec(name="pool", engine=replace(ENGINE, layers=0))
        instance = _run(
            _SPARE,
            _report_losses("a-large-4"),
            unresponsive={"a-large-4"},
            other_services={"broken": broken},
        )
        self.assertNotEqual(instance.list_orders(), [])

    def test_unresponsive_target_is_replaced_among_false_reports(self):
        reported = _report_losses("a-large-4", "a-large-0", "a-small-2")
        instance = _run(_SPARE, reported, unresponsive=["a-large-4"])
        [(after_s, name, layers)] = instance.list_orders()
        self.assertEqual((name, layers), ("a-middle-0", "71-80"))
        self.assertLessEqual(after_s, _TWO_PASSES_S)

    def test_target_that_fails_own_probe_is_replaced_without_a_report(self):
        def on_heartbeat(instance):
            instance.failure_detector.probe(["a-large-4"])

        instance = _run(_SPARE, on_heartbeat, unresponsive=["a-large-4"])
        [(after_s, name, layers)] = instance.list_orders()
        self.assertEqual((name, layers), ("a-middle-0", "71-80"))
        self.assertLessEqual(after_s, _TWO_PASSES_S)

    def test_duration_of_an_earlier_gap_does_not_count(self):
        # Two outages of a target, each shorter than the three seconds of a gap.
        def on_heartbeat(instance):
            after_s = instance.read_clock() - instance.began_at
            if after_s < 0.2 or 4.6 < after_s < 5.0:
                instance.table.record_failure("a-small-0", now=instance.read_clock())

        self.assertEqual(_run(_TIGHT, on_heartbeat, seconds=6.5).list_orders(), [])

    def test_data_centre_that_returns_empty_is_given_layers(self):
        # One pass plans all empty targets, and may assign more layers to some of them.
        for counts in (_TIGHT, {"a": {"middle": 9}, "b": {"large": 6}}):
            fleet = _make_placed_fleet(counts)
            empty = {target.name for target in fleet if target.data_centre == "a"}
            with self.subTest(counts=counts):
                instance = _run(counts, lambda _: None, empty=empty, seconds=3.0)
                ordered = {order[1] for order in instance.list_orders()}
                self.assertEqual(ordered, empty)

    def test_neighbours_replace_a_target_unresponsive_for_three_seconds(self):
        instance = _run(_TIGHT, _report_losses("a-small-0"), unresponsive=["a-small-0"])
        orders = instance.list_orders()
        ordered = [(name, layers) for _, name, layers in orders]
        self.assertEqual(ordered, [("a-middle-0", "0-11"), ("a-middle-1", "11-21")])
        for after_s, _, _ in orders:
            self.assertGreaterEqual(after_s, 3.0)
            self.assertLessEqual(after_s, 3.0 + _TWO_PASSES_S)


class RefusalReportsTest(unittest.TestCase):
    """Targets with apparent capacity refuse requests during a store outage."""

    def test_targets_that_leave_unannounced_are_replaced(self):
        def on_heartbeat(instance):
            now = instance.read_clock()
            instance.table.refusals.merge_reports(["a-small-0"], now=now)

        ordered = [order[1] for order in _run(_TIGHT, on_heartbeat).list_orders()]
        self.assertEqual(ordered, ["a-middle-0", "a-middle-1"])

    def test_reports_that_most_targets_refuse_move_no_layers(self):
        # A peer that receives few reservations of others takes full targets for ones
        # with room, and reports their refusals to the lease holder as leaving. During a
        # store outage, the holder used to give healthy targets other layers, which made
        # them reject the requests that ran through them.
        names = [target.name for target in _make_placed_fleet(_TIGHT)]
        reported = [name for name in names if "middle" not in name]

        def on_heartbeat(instance):
            instance.table.refusals.merge_reports(reported, now=instance.read_clock())

        self.assertGreater(len(reported), len(names) / 2)
        self.assertEqual(_run(_TIGHT, on_heartbeat).list_orders(), [])


if __name__ == "__main__":
    unittest.main()
