import unittest
from dataclasses import replace
from types import SimpleNamespace

from fulmarward_core.catalogue import KnownRow, NamedTargets, TargetCatalogue
from fulmarward_core.fleet import LayerRange, ServiceSpec
from fulmarward_core.isolation import ContactTable
from fulmarward_core.layers.tests.fleets import ENGINE, make_target
from fulmarward_core.loads import LoadLedger
from fulmarward_core.suspicion import SuspicionTable
from fulmarward_router.exchange import FailureDetector, OccupancyReader


class _Dialect:
    """Records the names of the targets to which something is sent."""

    def __init__(self):
        self.sent = set()

    async def read_report(self, record, timeout_s):
        self.sent.add(record.name)
        return SimpleNamespace(kv_used=0.0)

    async def is_responding(self, record, timeout_s):
        self.sent.add(record.name)
        return record.name == "own"

    is_accepting = is_responding


class UnnamedServiceTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        pool = ServiceSpec(name="pool", engine=ENGINE)
        self.services, self.now = {"pool": pool}, 0.0
        self.catalogue = TargetCatalogue(
            may_be_used=lambda record: record.service in self.services
        )
        self.dialect = _Dialect()
        self.parts = {
            "dialect": self.dialect,
            "catalogue": NamedTargets(
                catalogue=self.catalogue, get_services=lambda: self.services
            ),
            "read_clock": lambda: self.now,
        }
        layers = LayerRange(start=0, end=4)
        self.own = make_target("own", "a", "large", layers)
        self.other = replace(self.own, name="other", service="index")
        self.write(self.own, 1)
        self.write(replace(self.other, address="10.0.0.2:80"), 2)

    def write(self, record, version):
        row = KnownRow(
            name=record.name,
            version=version,
            value=b"x",
            record=replace(record),
            heard_at=0.0,
        )
        self.catalogue.apply_changes([row], version, now=0.0)

    def make_detector(self):
        return FailureDetector(
            suspicions=SuspicionTable(),
            contacts=ContactTable(),
            notify_peers=lambda: None,
            **self.parts,
        )

    async def test_occupancy_is_not_read(self):
        """Guards against reports that are requested from another writer's servers."""
        reader = OccupancyReader(
            ledger=LoadLedger(), data_centre="a", is_reader=lambda: True, **self.parts
        )
        await reader.run()
        self.assertEqual(self.dialect.sent, {"own"})

    async def test_contact_is_not_checked(self):
        """Guards against probes of another writer's servers by idle instances."""
        monitor = self.make_detector().contact_monitor
        self.now = 100.0
        await monitor.check_all()
        self.assertEqual(self.dialect.sent, {"own"})

    async def test_probes_have_no_such_controls(self):
        """Guards against verdicts that rest on another writer's servers."""
        self.write(replace(self.own, name="lost", address="10.0.0.3:80"), 3)
        await self.make_detector().probe_and_wait(["lost"])
        self.assertEqual(self.dialect.sent, {"own", "lost"})

    def test_rows_read_before_the_services_are_known_take_no_address(self):
        """Guards against a target that another writer's row hides at a start."""
        pool, self.services = self.services, {}
        self.write(replace(self.own, name="late"), 3)
        for name, version in [("x0", 4), ("x1", 5)]:
            self.write(replace(self.own, name=name, service="index"), version)
        self.assertEqual(self.catalogue.update_addresses(now=0.0), [])
        self.services = pool
        superseded = self.catalogue.update_addresses(now=3.0)
        self.assertEqual([row.name for row in superseded], ["own"])
        self.assertEqual(self.catalogue.find_leaving_s("own", now=3.0), 3.0)
        listed = {record.name for record in self.catalogue.list_targets(now=0.0)}
        self.assertEqual(listed, {"late", "other", "x0", "x1"})
        # The service is taken away, and comes back.
        self.services = {}
        self.assertEqual(self.catalogue.update_addresses(now=0.0), [])
        self.services = pool
        self.assertEqual(self.catalogue.update_addresses(now=0.0), [])
        self.assertIsNone(self.catalogue.find_target("own"))

    def test_no_address_is_taken(self):
        """Guards against another writer who names the address of a target."""
        self.write(self.other, 3)
        self.assertIsNotNone(self.catalogue.find_target("own"))
        self.services["index"] = ServiceSpec(name="index", engine=None)
        self.write(self.other, 4)
        self.assertIsNone(self.catalogue.find_target("own"))
