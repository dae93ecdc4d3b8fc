import unittest

from fulmarward_core.health import (
    SummaryRecord,
    choose_publisher,
    is_newer,
    select_unsent,
    summarize_pool,
)
from fulmarward_core.health._summaries import (
    MAX_SUMMARIES_PER_MESSAGE,
    MAX_VERSION_AHEAD,
)
from fulmarward_core.health.tests.test_decisions import make_targets
from fulmarward_core.routing import LoadReport, TargetView


class SummaryTest(unittest.TestCase):
    def test_load_of_the_followed_targets_is_scaled_to_all_open_ones(self):
        targets = make_targets(40, 1)
        pool = [name for name, target in targets.items() if target.serves == "m1"]
        views = {
            name: TargetView(
                name=name,
                target=targets[name],
                report=LoadReport(running=4, waiting=1, received_at=1.0),
            )
            for name in pool[:5]
        }
        summary = summarize_pool(
            targets=targets,
            views=views,
            leaving=frozenset(pool[:2]),
            key=("m1", "dc0"),
            now=9.0,
        )
        self.assertEqual(len(pool), 10)
        self.assertEqual((summary.open_targets, summary.slots), (8, 128))
        self.assertEqual((summary.running, summary.waiting), (32, 8))

    def test_publisher_changes_only_when_it_leaves(self):
        names = [f"i{number}" for number in range(9)]
        publisher = choose_publisher(names, ("m", "dc"))
        others = [name for name in names if name != publisher]
        self.assertEqual(
            choose_publisher([*others[1:], publisher], ("m", "dc")), publisher
        )

    def test_summary_with_a_version_far_ahead_is_rejected(self):
        # Guards against an instance whose clock is a day ahead: its summary would hide
        # for a day that the pool is full, since all later ones look older.
        numbers = {"slots": 1, "running": 0, "waiting": 0, "open_targets": 1, "age": 0}
        cases = [(5, True), (4, False), (3, False), (105 + MAX_VERSION_AHEAD, False)]
        for version, expected in cases:
            record = SummaryRecord(
                serves="m", data_centre="dc", version=version, **numbers
            )
            with self.subTest(version=version):
                known = {("m", "dc"): 4}
                self.assertEqual(is_newer(known, record, wall=100), expected)

    def test_message_size_is_bounded_and_the_newest_go_first(self):
        versions = {(f"m{n}", "dc"): n for n in range(1, 100)}
        first = select_unsent(versions, {("m99", "dc"): 99})
        self.assertEqual(len(first), MAX_SUMMARIES_PER_MESSAGE)
        self.assertEqual(first[0], ("m98", "dc"))
