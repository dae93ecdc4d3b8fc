import unittest
from dataclasses import replace
from unittest import mock

from fulmarward_core.catalogue import KnownRow, TargetCatalogue
from fulmarward_core.fleet import (
    AcceleratorKind,
    EngineModel,
    LayerRange,
    TargetRecord,
)
from fulmarward_core.loads import LoadLedger
from fulmarward_core.paces import PaceTable
from fulmarward_core.paths import PathRequest, StageIndex
from fulmarward_core.suspicion import SuspicionTable
from fulmarward_router.exchange._path_finder import PathFinder

_ENGINE = EngineModel(
    model="m",
    slots=8,
    layers=2,
    layer_mb=1.0,
    kv_bytes_per_token=10.0,
    activation_bytes=1.0,
    pipe_mbps=1000.0,
    step_ms=1.0,
    sequence_ms=0.1,
    context_ms_per_k=0.1,
    prefill_tokens_per_s=1e5,
    mean_prompt_tokens=10,
    mean_answer_tokens=10,
    kinds={
        "big": AcceleratorKind(
            name="big", memory_mb=1000.0, step_factor=1.0, prefill_factor=1.0
        )
    },
)

_REQUEST = PathRequest(prompt=10, answer=10, data_centre="a")


def _make_row(name, version, data_centre="a"):
    record = TargetRecord(
        name=name,
        service="pool",
        address=f"{name}:1",
        data_centre=data_centre,
        is_leaving=False,
        slots=8,
        remaining_warmup_s=0.0,
        started_ms=1,
        kind="big",
        layers=LayerRange(start=0, end=2),
    )
    return KnownRow(
        name=name, version=version, value=b"", record=record, heard_at=100.0
    )


def make_finder(catalogue, **options):
    return PathFinder(
        instance="one",
        catalogue=catalogue,
        suspicions=SuspicionTable(),
        paces=PaceTable(),
        **{
            "ledger": LoadLedger(),
            "is_large": lambda: False,
            "list_throttled": frozenset,
            "list_backed_off": frozenset,
            **options,
        },
    )


class IndexTest(unittest.TestCase):
    """Guards against a change of the configuration that slows requests under way."""

    def setUp(self):
        self.now = 100.0
        self.catalogue = TargetCatalogue()
        self.catalogue.apply_changes([_make_row("t1", 1)], 1, now=100.0)
        self.finder = make_finder(self.catalogue, read_clock=lambda: self.now)

    def count_indexes(self, engines):
        """Return how many indexes are built to choose a path for each engine."""
        with mock.patch(
            "fulmarward_router.exchange._path_finder.StageIndex", wraps=StageIndex
        ) as build:
            for engine in engines:
                self.assertIsNotNone(self.finder.choose("pool", engine, _REQUEST))
        return build.call_count

    def count_measurements(self, *, duration_s):
        """Return how often the capacity is measured if it is asked for each 10 ms."""
        with mock.patch.object(
            StageIndex, "measure_capacity", autospec=True
        ) as measure:
            begin = self.now
            for number in range(round(duration_s / 0.01)):
                self.now = begin + number * 0.01
                self.finder.measure_capacity("pool", _ENGINE)
        return measure.call_count

    def test_large_fleet_is_measured_less_often(self):
        """Guards against measurements that take several percent of a core."""
        self.assertGreater(self.count_measurements(duration_s=0.9), 10)
        rows = [_make_row(f"t{number}", number) for number in range(2, 802)]
        self.catalogue.apply_changes(rows, 802, now=self.now)
        self.now += 0.1
        self.assertLessEqual(self.count_measurements(duration_s=0.9), 3)

    def test_versions_that_alternate_are_indexed_once_each(self):
        """Guards against an index that requests of two versions build in turns."""
        before, after = _ENGINE, replace(_ENGINE, step_ms=2.0)
        self.assertEqual(self.count_indexes([before, after] * 10), 2)

    def test_versions_that_changed_nothing_share_an_index(self):
        """Guards against an index for each of many versions of the same service."""
        engines = [replace(_ENGINE) for _ in range(10)]
        self.assertEqual(self.count_indexes(engines * 2), 1)

    def test_target_that_does_not_fit_the_model_ends_no_other_path(self):
        """Guards against one row for which no path is found for any request."""
        odd = [
            {"layers": LayerRange(start=0, end=5)},
            {"layers": LayerRange(start=7, end=9)},
            {"layers": LayerRange(start=1, end=10**4)},
            {"kind": "unheard of"},
            {"kind": "", "data_centre": "unheard of"},
        ]
        rows = [_make_row(f"x{number}", number + 2) for number in range(len(odd))]
        rows = [
            replace(row, record=replace(row.record, **changes))
            for row, changes in zip(rows, odd, strict=True)
        ]
        self.catalogue.apply_changes(rows, 9, now=100.0)
        path = self.finder.choose("pool", _ENGINE, _REQUEST)
        self.assertEqual([hop.target for hop in path], ["t1"])

    def test_change_of_a_target_is_seen_under_all_versions(self):
        """Guards against a path to a target that has left, under an older version."""
        engines = [_ENGINE, replace(_ENGINE, step_ms=2.0)]
        self.assertEqual(self.count_indexes(engines), 2)
        row = _make_row("t1", 2)
        row = replace(row, record=replace(row.record, is_leaving=True))
        rows = [row, _make_row("t2", 2)]
        self.catalogue.apply_changes(rows, 2, now=100.0)
        for engine in engines:
            path = self.finder.choose("pool", engine, _REQUEST)
            self.assertEqual([hop.target for hop in path], ["t2"])
