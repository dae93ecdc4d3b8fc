import math
import unittest
from types import SimpleNamespace

import orjson

from fulmarward_core.demand import ClassDemand, DemandTable
from fulmarward_core.layers.tests.fleets import ENGINE
from fulmarward_core.paths import KvCapacity
from fulmarward_core.team_shares import TeamHold, TeamTable, TeamUse
from fulmarward_core.waits import PromiseCounts
from fulmarward_router._contention import (
    MAX_CLASSES,
    MAX_SERVICES,
    MAX_SHOWN_KV,
    describe_contention,
)
from fulmarward_router.state import PromisedReturns

_NOW = 100.0


def make_configuration(urgencies, *, services=("one",), engine=ENGINE):
    return SimpleNamespace(
        class_services=frozenset(services),
        urgencies_by_service=dict.fromkeys(services, urgencies),
        services=dict.fromkeys(services, SimpleNamespace(engine=engine)),
    )


class ContentionStatusTest(unittest.TestCase):
    def setUp(self):
        self.capacity = KvCapacity(planned=1000.4, free=200.0)
        self.demands = DemandTable(own="one")
        self.teams = TeamTable(own="one")
        self.promised_returns = PromisedReturns(read_clock=lambda: _NOW)

    def describe(self, configuration):
        """Return the status as operators get it, encoded and decoded."""
        source = SimpleNamespace(
            configuration=SimpleNamespace(current=configuration),
            demands=self.demands,
            teams=self.teams,
            promised_returns=self.promised_returns,
            engines=SimpleNamespace(measure_capacity=lambda *_: self.capacity),
        )
        return orjson.loads(orjson.dumps(describe_contention(source, now=_NOW)))

    def describe_service(self, configuration):
        return self.describe(configuration)["services"]["one"]

    def merge(self, urgencies, *, amount, sources=1):
        classes = tuple(
            ClassDemand(
                urgency=urgency,
                on_time_kv=amount,
                late_kv=amount,
                arriving_kv_per_s=amount,
                released_kv_per_s=amount,
                promised_kv=amount,
            )
            for urgency in urgencies
        )
        for number in range(sources):
            self.assertTrue(
                self.demands.merge_report(
                    f"peer-{number}", {"one": classes}, boot=1, at=_NOW - 0.2, now=_NOW
                )
            )

    def test_status_before_a_configuration(self):
        """Guards against a status that fails on an instance that has just started."""
        found = self.describe(None)
        self.assertEqual(found["services"], {})
        self.assertIsNone(found["oldest_report_s_ago"])
        self.assertEqual(found["promises"].keys(), vars(PromiseCounts()).keys())

    def test_classes_without_demand_or_reports(self):
        """Guards against a status that fails while no peer has reported."""
        found = self.describe_service(make_configuration((0, 2)))
        self.assertEqual(found["capacity"], {"planned_kv": 1000, "free_kv": 200})
        empty = {"fleet": None, "own": None, "promised_kv": 0}
        self.assertEqual(
            found["classes"], [{"urgency": 0, **empty}, {"urgency": 2, **empty}]
        )

    def test_service_without_engine_or_entry(self):
        """Guards against a status that fails for a service without a capacity."""
        configuration = make_configuration((0, 1), engine=None)
        self.assertIsNone(self.describe_service(configuration)["capacity"])
        configuration.services.clear()
        self.assertIsNone(self.describe_service(configuration)["capacity"])

    def test_demand_of_the_fleet_and_of_this_instance(self):
        """Guards against demand of peers that is shown as that of this instance."""
        self.demands.set_waiting("one", 1, on_time_kv=5.0, late_kv=7.0, now=_NOW)
        self.merge([1], amount=10.0)
        self.promised_returns.promise(
            "request:0-" + "5e" * 16, "one", 1, 40.0, return_s=2.0, request_id="a"
        )
        found = self.describe(make_configuration((0, 1)))
        self.assertEqual(found["oldest_report_s_ago"], 0.2)
        self.assertEqual(found["promises"]["made"], 1)
        described = found["services"]["one"]["classes"][1]
        own = {
            "on_time_kv": 5,
            "late_kv": 7,
            "arriving_kv_per_s": 0,
            "released_kv_per_s": 0,
        }
        fleet = {
            "on_time_kv": 15,
            "late_kv": 17,
            "arriving_kv_per_s": 10,
            "released_kv_per_s": 10,
        }
        self.assertEqual(
            described, {"urgency": 1, "fleet": fleet, "own": own, "promised_kv": 40}
        )

    def test_uses_of_teams(self):
        """Guards against uses of peers that are shown as those of this instance."""
        self.assertEqual(self.describe(None)["teams"], {})
        hold = TeamHold(service="plain", urgency=1, team="a", kv=5.0)
        self.teams.record_running("request", hold)
        uses = {
            "plain": tuple(
                TeamUse(urgency=1, team=team, used_kv=7.0, waiting_kv=2.0**53)
                for team in ("a", "b")
            )
        }
        for peer in ("two", "three"):
            self.teams.merge_report(peer, uses, boot=1, at=_NOW, now=_NOW)
        [a, b] = self.describe(make_configuration((0, 1)))["teams"]["plain"]
        fleet = {"used_kv": 19, "waiting_kv": MAX_SHOWN_KV}
        own = {"used_kv": 5, "waiting_kv": 0}
        self.assertEqual(a, {"urgency": 1, "team": "a", "fleet": fleet, "own": own})
        self.assertEqual((b["fleet"]["used_kv"], b["own"]), (14, None))

    def test_amounts_that_are_infinite_or_too_large(self):
        """Guards against amounts that cannot be rounded or encoded."""
        for capacity in (math.inf, math.nan):
            with self.subTest(capacity=capacity):
                self.capacity = KvCapacity(planned=capacity, free=0.0)
                found = self.describe_service(make_configuration((0, 1)))
                expected = {"planned_kv": None, "free_kv": 0}
                self.assertEqual(found["capacity"], expected)
        # The sum exceeds 64 bits, which the encoder refuses.
        self.merge([0], amount=float(MAX_SHOWN_KV), sources=4096)
        found = self.describe_service(make_configuration((0, 1)))
        self.assertEqual(found["classes"][0]["fleet"]["late_kv"], MAX_SHOWN_KV)

    def test_size_is_bounded(self):
        """Guards against a status that grows with what peers report."""
        self.merge(range(100, 100 + MAX_CLASSES), amount=1.0)
        names = ["one", *(f"service-{n}" for n in range(MAX_SERVICES + 2))]
        found = self.describe(make_configuration((0, 1), services=names))
        self.assertEqual(len(found["services"]), MAX_SERVICES)
        self.assertEqual(found["omitted_services"], 3)
        listed = [item["urgency"] for item in found["services"]["one"]["classes"]]
        self.assertEqual(listed, [0, 1, *range(100, 100 + MAX_CLASSES - 2)])
