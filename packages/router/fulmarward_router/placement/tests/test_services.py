"""Placement of several services with engines by one lease holder."""

import asyncio
import contextlib
import unittest
from dataclasses import replace
from types import SimpleNamespace

from fulmarward_core.catalogue import KnownRow, TargetCatalogue
from fulmarward_core.fleet import ServiceSpec
from fulmarward_core.isolation import ContactTable
from fulmarward_core.layers import find_gaps, plan_layers
from fulmarward_core.layers.tests.fleets import ENGINE, make_fleet
from fulmarward_core.suspicion import SuspicionTable
from fulmarward_router.placement import Placer
from fulmarward_router.ports import OrderOutcome, OrderResult, TargetReport
from fulmarward_router.tests._simulated_time import run_simulated

_COUNTS = {"a": {"large": 5, "middle": 4, "small": 6}}

#: Seconds that a target takes to carry out an order, and until an order that is not
#: answered has timed out.
_LOAD_S = 2.0
_ORDER_TIMEOUT_S = 0.8

#: Seconds in which an empty fleet is planned and has loaded its layers, and in which
#: the layers of a target that has left are ordered elsewhere, each with a margin.
_PLAN_S = 6.0
_REPAIR_S = 1.5


def _make_targets(service, *, is_empty):
    """Return targets of a service, which hold all layers unless they are empty."""
    fleet = [
        _rename(replace(target, service=service), f"{service}-{target.name}")
        for target in make_fleet(_COUNTS)
    ]
    plan = {
        item.target: item.layers for item in plan_layers(ENGINE, fleet, instances=4)
    }
    return [
        replace(target, layers=None if is_empty else plan.get(target.name))
        for target in fleet
    ]


def _rename(target, name):
    """Return a target with a name, and an address of its own."""
    return replace(target, name=name, address=f"10.0.0.1:{name}")


class _Fleet:
    """Targets that carry out orders after a time, but for those that never answer."""

    def __init__(self, read_clock):
        self.read_clock = read_clock
        self.catalogue = TargetCatalogue()
        self.version = 0
        self.catalogue.apply_full_read([], 0, now=read_clock())
        self.silent_services = set()
        self.unanswered_services = set()
        self.accepted = {}
        #: Time, target and layers of each order.
        self.orders = []
        self.loads = set()
        self.configuration = SimpleNamespace(current=SimpleNamespace(services={}))
        self.placer = Placer(
            dialect=self,
            lease=SimpleNamespace(fencing=7, is_held=lambda: True),
            configuration=self.configuration,
            catalogue=self.catalogue,
            suspicions=SuspicionTable(),
            contacts=ContactTable(),
            probe_targets=lambda names: None,
            count_routing_instances=lambda: 4,
            read_clock=read_clock,
        )

    def declare(self, *services):
        """Put a configuration in force that names services with engines."""
        specs = {name: ServiceSpec(name=name, engine=ENGINE) for name in services}
        self.configuration.current = SimpleNamespace(services=specs)

    def put(self, targets):
        """Write the rows of targets to the store."""
        now = self.read_clock()
        for target in targets:
            self.version += 1
            row = KnownRow(
                name=target.name,
                version=self.version,
                value=b"%d" % self.version,
                record=target,
                heard_at=now,
            )
            self.catalogue.apply_changes([row], self.version, now=now)

    def remove(self, target):
        """Remove the row of a target that has left."""
        self.version += 1
        row = KnownRow(
            name=target.name, version=self.version, value=None, record=None, heard_at=0
        )
        self.catalogue.apply_changes([row], self.version, now=self.read_clock())

    def list_holders(self, service):
        now = self.read_clock()
        return [
            record
            for record in self.catalogue.list_targets(now=now)
            if record.service == service and record.layers is not None
        ]

    def find_missing(self, service):
        """Return the layers of a service that no target holds."""
        return find_gaps(
            ENGINE.layers, [record.layers for record in self.list_holders(service)]
        )

    async def read_report(self, record, timeout_s):
        if record.service in self.silent_services:
            await asyncio.sleep(timeout_s)
            return None
        return TargetReport(
            layers=record.layers,
            orders_accepted=self.accepted.get(record.name, 0),
            pace=1.0,
        )

    async def order_layers(self, record, layers, *, fencing, orders_accepted):
        self.orders.append((self.read_clock(), record.name, layers))
        if record.service in self.silent_services:
            await asyncio.sleep(_ORDER_TIMEOUT_S)
            return OrderResult(outcome=OrderOutcome.UNKNOWN)
        if orders_accepted != self.accepted.get(record.name, 0):
            return OrderResult(outcome=OrderOutcome.UNFIT)
        self.accepted[record.name] = orders_accepted + 1
        load = asyncio.create_task(self._load(record, layers))
        self.loads.add(load)
        load.add_done_callback(self.loads.discard)
        if record.service in self.unanswered_services:
            await asyncio.sleep(_ORDER_TIMEOUT_S)
            return OrderResult(outcome=OrderOutcome.UNKNOWN)
        return OrderResult(outcome=OrderOutcome.TAKEN)

    async def _load(self, record, layers):
        await asyncio.sleep(_LOAD_S)
        if self.catalogue.find_target(record.name) is not None:
            self.put([replace(record, layers=layers)])

    def list_ordered(self, service):
        """Return the targets of a service in the order of their orders."""
        return [name for _, name, _ in self.orders if name.startswith(f"{service}-")]


class ServicesTest(unittest.TestCase):
    """Guards against a pass over one service that drops what belongs to the others."""

    def play(self, script):
        async def work(read_clock):
            fleet = _Fleet(read_clock)
            placing = asyncio.create_task(fleet.placer.run())
            await script(fleet)
            placing.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await placing
            self.assertEqual(
                asyncio.all_tasks() - fleet.loads, {asyncio.current_task()}
            )
            for load in list(fleet.loads):
                load.cancel()

        run_simulated(work)

    def check_orders(self, fleet, *services):
        """Check that all layers are held, and that no target got an order twice."""
        for service in services:
            self.assertEqual(fleet.find_missing(service), [], service)
        names = [name for _, name, _ in fleet.orders]
        self.assertEqual(len(names), len(set(names)))
        for service in services:
            for record in fleet.list_holders(service):
                kind = ENGINE.kinds[record.kind]
                used_mb = len(record.layers) * ENGINE.layer_mb
                self.assertLessEqual(used_mb, kind.memory_mb)

    def test_services_that_start_together_are_both_placed(self):
        async def script(fleet):
            fleet.declare("one", "two")
            for service in ("one", "two"):
                fleet.put(_make_targets(service, is_empty=True))
            await asyncio.sleep(_PLAN_S)
            self.check_orders(fleet, "one", "two")

        self.play(script)

    def test_service_that_is_added_is_placed(self):
        async def script(fleet):
            fleet.declare("one")
            fleet.put(_make_targets("one", is_empty=False))
            await asyncio.sleep(2.0)
            fleet.declare("one", "two")
            fleet.put(_make_targets("two", is_empty=True))
            await asyncio.sleep(_PLAN_S)
            self.check_orders(fleet, "one", "two")

        self.play(script)

    def test_service_that_was_removed_is_placed_on_its_return(self):
        """Guards against orders that are sent again, and state of an earlier time."""

        async def script(fleet):
            fleet.declare("one", "two")
            fleet.put(_make_targets("one", is_empty=False))
            fleet.put(_make_targets("two", is_empty=True))
            # Its first orders are open.
            await asyncio.sleep(2.2)
            self.assertTrue(fleet.list_ordered("two"))
            fleet.declare("one")
            await asyncio.sleep(0.7)
            fleet.declare("one", "two")
            await asyncio.sleep(_PLAN_S)
            self.check_orders(fleet, "one", "two")

        self.play(script)

    def test_silent_targets_hold_up_no_other_service(self):
        """Guards against repairs that wait for the targets of another service."""

        async def script(fleet):
            fleet.declare("one", "two")
            fleet.silent_services.add("one")
            fleet.put(_make_targets("one", is_empty=False))
            empty = _make_targets("one", is_empty=True)
            for number in range(8):
                fleet.put(_rename(t, f"{t.name}-{number}") for t in empty)
            fleet.put(_make_targets("two", is_empty=False))
            await asyncio.sleep(1.0)
            [added, *_] = _make_targets("two", is_empty=True)
            fleet.put([_rename(added, "two-added")])
            await asyncio.sleep(_REPAIR_S)
            self.assertEqual(fleet.list_ordered("two"), ["two-added"])

        self.play(script)

    def test_targets_that_go_while_orders_are_open(self):
        """Guards against a second order for what another target loads already."""

        async def script(fleet):
            fleet.declare("one", "two")
            fleet.unanswered_services |= {"one", "two"}
            for service in ("one", "two"):
                fleet.put(_make_targets(service, is_empty=True))
            await asyncio.sleep(2.5)
            for service in ("one", "two"):
                self.assertTrue(fleet.list_ordered(service))
                gone = fleet.list_ordered(service)[0]
                fleet.remove(fleet.catalogue.find_target(gone))
            await asyncio.sleep(2 * _PLAN_S)
            self.check_orders(fleet, "one", "two")

        self.play(script)
