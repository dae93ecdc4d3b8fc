import unittest
from collections import Counter
from dataclasses import replace

from fulmarward_core.layers import plan_layers
from fulmarward_core.layers.tests.fleets import (
    ENGINE,
    THREE_SPEEDS,
    THREE_SPEEDS_FLEET,
    make_fleet,
)
from fulmarward_core.loads import LoadLedger
from fulmarward_core.paces import PaceTable
from fulmarward_core.paths import PathRequest, count_tokens_held
from fulmarward_core.suspicion import SuspicionTable
from fulmarward_router.exchange._path_finder import PathFinder

#: Instances that start at the same moment, and requests that each of them gets before
#: it knows of the others' loads.
_INSTANCES, _REQUESTS = 69, 5

_TWO_SPEEDS_FLEET = {
    "a": {"large": 4, "middle": 9, "small": 14},
    "b": {"large": 2, "middle": 13, "small": 22},
    "c": {"large": 1, "middle": 22, "small": 12},
}


class _Catalogue:
    revision = 1

    def __init__(self, fleet):
        self._fleet = fleet

    def list_targets(self, *, now):
        return self._fleet

    def may_miss_leaving(self, *, now):
        return False


class CommonStartTest(unittest.TestCase):
    def play_start(self, engine, counts, *, known):
        """Return the requests by first target.

        `known` is the number of instances that each of them knows of.
        """
        fleet = make_fleet(counts)
        planned = plan_layers(engine, fleet, instances=24)
        layers = {item.target: item.layers for item in planned}
        catalogue = _Catalogue([replace(t, layers=layers[t.name]) for t in fleet])
        first = Counter()
        for number in range(_INSTANCES):
            ledger = LoadLedger()
            finder = PathFinder(
                instance=f"i-{number}",
                catalogue=catalogue,
                suspicions=SuspicionTable(),
                paces=PaceTable(),
                ledger=ledger,
                is_large=lambda: True,
                list_throttled=frozenset,
                list_backed_off=frozenset,
                read_clock=lambda: 100.0,
                count_known_instances=lambda: known,
            )
            wanted = PathRequest(
                prompt=engine.mean_prompt_tokens,
                answer=engine.mean_answer_tokens,
                data_centre="abc"[number % 3],
            )
            for _ in range(_REQUESTS):
                path = finder.choose("pool", engine, wanted)
                ledger.reserve(path, count_tokens_held(wanted))
                first[path[0].target] += 1
        return first

    def test_instances_that_start_together_do_not_fill_the_same_engines(self):
        """Guards against requests that engines reject, as all chose the fastest ones.

        Played at fleets of two and of three speeds.
        """
        for engine, counts in (
            (ENGINE, _TWO_SPEEDS_FLEET),
            (THREE_SPEEDS, THREE_SPEEDS_FLEET),
        ):
            with self.subTest(kinds=sorted(engine.kinds)):
                alone = self.play_start(engine, counts, known=1)
                self.assertGreater(max(alone.values()), engine.slots)
                first = self.play_start(engine, counts, known=_INSTANCES)
                self.assertEqual(first.total(), _INSTANCES * _REQUESTS)
                self.assertLessEqual(max(first.values()), engine.slots)


class ScaleTest(unittest.TestCase):
    def test_known_loads_are_not_estimated(self):
        """Guards against engines that are avoided although their load is known."""
        ledger = LoadLedger()
        self.assertEqual(ledger.find_scale(4, now=0.0), 4.0)
        for number, scale in enumerate((2.0, 4 / 3, 1.0, 1.0)):
            ledger.merge_report(f"peer-{number}", {}, now=0.0)
            self.assertEqual(ledger.find_scale(4, now=0.0), scale)
