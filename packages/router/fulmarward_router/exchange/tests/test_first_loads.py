import unittest
from dataclasses import replace
from types import SimpleNamespace

from fulmarward_core.fleet import compute_kv_capacity
from fulmarward_core.layers import plan_layers
from fulmarward_core.layers.decisions._sizes import group_kinds
from fulmarward_core.layers.tests.fleets import ENGINE, THREE_SPEEDS, make_fleet
from fulmarward_core.layers.tests.load import make_stages
from fulmarward_core.loads import HubReport, LoadLedger
from fulmarward_core.paths import PathRequest, count_tokens_held
from fulmarward_core.paths.tests.stages import choose_path
from fulmarward_router.exchange._engines import MAX_READ_PATHS
from fulmarward_router.exchange._first_loads import READ_DURATION_S, FirstLoads

#: Instances that start at the same moment, and requests that each of them gets first.
_INSTANCES, _REQUESTS = 24, 4

_TWO_SPEEDS_FLEET = {
    "a": {"large": 4, "middle": 9, "small": 14},
    "b": {"large": 2, "middle": 13, "small": 22},
    "c": {"large": 1, "middle": 22, "small": 12},
}
_THREE_SPEEDS_FLEET = {
    "a": {"large": 4, "middle": 6, "small": 14},
    "b": {"large": 2, "middle": 9, "small": 22},
    "c": {"large": 2, "middle": 15, "small": 12},
}


class _Engines:
    """Engines that still run the streams of instances that have lost power.

    They reject a request for which an engine of its path lacks KV cache.
    """

    def __init__(self, engine, counts):
        self.engine = engine
        fleet = make_fleet(counts)
        planned = plan_layers(engine, fleet, instances=_INSTANCES)
        layers = {item.target: item.layers for item in planned}
        self.fleet = [replace(t, layers=layers[t.name]) for t in fleet]
        self.records = {target.name: target for target in self.fleet}
        self.capacity = {
            t.name: compute_kv_capacity(engine, engine.kinds[t.kind], len(t.layers))
            for t in self.fleet
        }
        slowest = group_kinds(engine, fleet)[-1]
        self.used = {
            t.name: 0.0 if t.kind in slowest else 0.95 * self.capacity[t.name]
            for t in self.fleet
        }
        self.reads = 0

    async def read_report(self, record, timeout_s):
        self.reads += 1
        return SimpleNamespace(kv_used=self.used[record.name])

    def find_target(self, name):
        return self.records[name]

    def list_targets(self, *, now):
        return self.fleet

    def send(self, path, tokens):
        """Return whether all engines of a path accept a request."""
        used = {h.target: self.used[h.target] + tokens * len(h.layers) for h in path}
        is_accepted = all(used[name] <= self.capacity[name] for name in used)
        if is_accepted:
            self.used |= used
        return is_accepted


class FirstLoadsTest(unittest.IsolatedAsyncioTestCase):
    def make_first_loads(self, engines, ledger):
        return FirstLoads(
            dialect=engines,
            catalogue=engines,
            ledger=ledger,
            read_clock=lambda: self.now,
        )

    async def play_start(self, engine, counts, *, reads):
        """Return the engines and how many requests they reject after a common start."""
        engines, rejected, self.now = _Engines(engine, counts), 0, 100.0
        ledgers = [LoadLedger() for _ in range(_INSTANCES)]
        first_loads = [self.make_first_loads(engines, ledger) for ledger in ledgers]
        request = PathRequest(
            prompt=engine.mean_prompt_tokens,
            answer=engine.mean_answer_tokens,
            data_centre="a",
            may_cross=False,
        )
        for number in range(_INSTANCES * _REQUESTS):
            place = number % _INSTANCES
            wanted = replace(request, data_centre="abc"[place % 3])
            for _ in range(MAX_READ_PATHS):
                stages = make_stages(engine, engines.fleet, ledgers[place], self.now)
                path = choose_path(engine, stages, wanted)
                if not reads or path is None:
                    break
                if not await first_loads[place].read(path, request_id="r"):
                    break
            tokens = count_tokens_held(wanted)
            if path is not None and engines.send(path, tokens):
                ledgers[place].reserve(path, tokens)
            else:
                rejected += 1
            self.now += 0.003
        return engines, rejected

    async def test_requests_after_a_common_start_are_not_sent_to_full_engines(self):
        """Guards against instances that all send to engines of which they know nothing.

        Played at fleets of two and of three speeds.
        """
        for engine, counts in (
            (ENGINE, _TWO_SPEEDS_FLEET),
            (THREE_SPEEDS, _THREE_SPEEDS_FLEET),
        ):
            with self.subTest(kinds=sorted(engine.kinds)):
                _, blind = await self.play_start(engine, counts, reads=False)
                self.assertGreater(blind, _INSTANCES * _REQUESTS / 4)
                _, rejected = await self.play_start(engine, counts, reads=True)
                self.assertLessEqual(rejected, _INSTANCES * _REQUESTS / 20)

    async def test_engines_are_not_read_once_a_hub_reports_all_loads(self):
        """Guards against reports that are read although the loads are known."""
        engines, self.now = _Engines(ENGINE, _TWO_SPEEDS_FLEET), 100.0
        ledger = LoadLedger()
        first_loads = self.make_first_loads(engines, ledger)
        report = HubReport(hub="h", is_full=True, loads={}, included=None)
        ledger.merge_hub_report(report, now=self.now)
        path = [SimpleNamespace(target=engines.fleet[0].name)]
        self.assertFalse(await first_loads.read(path, request_id="r"))
        self.assertEqual(engines.reads, 0)

    async def test_engines_are_read_only_for_some_time_after_the_start(self):
        """Guards against a single instance that reads its engines all day."""
        engines, self.now = _Engines(ENGINE, _TWO_SPEEDS_FLEET), 100.0
        first_loads = self.make_first_loads(engines, LoadLedger())
        path = [SimpleNamespace(target=engines.fleet[0].name)]
        self.assertTrue(await first_loads.read(path, request_id="r"))
        self.now += READ_DURATION_S
        self.assertFalse(await first_loads.read(path, request_id="r"))
        self.assertEqual(engines.reads, 27)
