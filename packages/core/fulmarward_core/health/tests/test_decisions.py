import unittest

from hypothesis import given, strategies as st

from fulmarward_core.declaration import DataCentre, Target, TargetKind
from fulmarward_core.health import (
    LeavingRecord,
    LeavingSource,
    LeavingTable,
    Pacer,
    charge,
    is_leaving,
    list_sources,
    merge_record,
    observe,
    observe_report,
    reserve,
    select_followed,
)
from fulmarward_core.health.decisions import (
    CONTRADICT_AFTER_S,
    FOLLOWERS,
    MOST_FOLLOWED,
    REFUSAL_HOLDS_S,
)

_LIST, _TARGET, _OPERATOR, _PLACEMENT = LeavingSource
_RECORDS = st.builds(
    LeavingRecord,
    target=st.sampled_from(["e1", "e2"]),
    source=st.sampled_from(LeavingSource),
    is_leaving=st.booleans(),
    version=st.integers(1, 4),
)


class LeavingTest(unittest.TestCase):
    def test_a_report_does_not_reopen_what_an_operator_drained(self):
        # An operator drains an engine; new work stops and starts again a second
        # later. The engine's load report, which knows nothing of the drain, said that
        # it was open, and there was one flag for all sources.
        table = LeavingTable()
        observe(table, ("e1", _OPERATOR), leaving=True, now=0.0)
        observe_report(table, "e1", leaving=False, now=1.0)
        observe(table, ("e1", _LIST), leaving=False, now=1.0)
        self.assertEqual(list_sources(table, "e1"), (_OPERATOR,))

    def test_a_late_report_does_not_undo_a_refusal(self):
        # An engine refuses a request because it leaves. A load report that was taken
        # before says that it is open, and the next request goes to it again.
        table = LeavingTable()
        observe(table, ("e1", _TARGET), leaving=True, now=0.0)
        observe_report(table, "e1", leaving=False, now=1.0)
        self.assertTrue(is_leaving(table, "e1"))
        observe_report(table, "e1", leaving=False, now=REFUSAL_HOLDS_S)
        self.assertFalse(is_leaving(table, "e1"))

    def test_lagging_lists_make_no_storm_of_news(self):
        # One instance's copy of the platform's list is late. Each of two instances
        # tells the other that it is wrong, at every read of the list.
        early, late = LeavingTable(), LeavingTable()
        told = 0
        for second in range(20):
            for table, other, leaving in (
                (early, late, second >= 5),
                (late, early, second >= 12),
            ):
                news = observe(table, ("e1", _LIST), leaving=leaving, now=second)
                if news is not None:
                    told += 1
                    merge_record(other, news, now=second)
            self.assertEqual(is_leaving(late, "e1"), second >= 5)
        self.assertEqual(told, 1)

    def test_news_that_nobody_stands_for_is_taken_back(self):
        # A target left and came back; every instance that saw it leave was replaced
        # meanwhile. Its record stands with all peers, and it would idle for ever.
        table = LeavingTable()
        stale = LeavingRecord(target="e1", source=_TARGET, is_leaving=True, version=7)
        merge_record(table, stale, now=0.0)
        self.assertIsNone(observe_report(table, "e1", leaving=False, now=1.0))
        self.assertTrue(is_leaving(table, "e1"))
        news = observe_report(table, "e1", leaving=False, now=1 + CONTRADICT_AFTER_S)
        self.assertEqual((news.is_leaving, news.version), (False, 8))
        self.assertFalse(is_leaving(table, "e1"))

    @given(st.lists(_RECORDS), st.randoms(use_true_random=False))
    def test_records_end_the_same_in_any_order(self, records, generator):
        first, second = LeavingTable(), LeavingTable()
        shuffled = records + records[:3]
        generator.shuffle(shuffled)
        for table, order in ((first, records), (second, shuffled)):
            for record in order:
                merge_record(table, record, now=0.0)
        self.assertEqual(first.records, second.records)

    @given(st.lists(st.tuples(st.sampled_from(LeavingSource), st.booleans())))
    def test_leaving_while_any_source_stands_by_its_word(self, words):
        table = LeavingTable()
        standing = dict.fromkeys(LeavingSource, False)
        for source, leaving in words:
            observe(table, ("e1", source), leaving=leaving, now=0.0)
            standing[source] = leaving
            self.assertEqual(is_leaving(table, "e1"), any(standing.values()))


def make_targets(count, places):
    return {
        f"e{number}": Target(
            address="127.0.0.1:1",
            data_centre=f"dc{number % places}",
            kind=TargetKind.ENGINE,
            serves=f"m{number % 4}",
            accelerator="",
            layers=(0, 24) if number % 3 else (0, 12),
            slots=16,
            tokens_per_s=1.0,
            checks_fencing=True,
        )
        for number in range(count)
    }


def _follow(targets, places, instances, place=None):
    """Return what each instance follows, or only those of one data centre."""
    data_centres = {f"dc{n}": DataCentre(region=f"r{n % 3}") for n in range(places)}
    return {
        name: select_followed(
            targets,
            own_name=name,
            own_data_centre=data_centre,
            instances=instances,
            data_centres=data_centres,
        )
        for name, data_centre in instances.items()
        if place in (None, data_centre)
    }


class FollowingTest(unittest.TestCase):
    def test_all_are_followed_at_the_design_size_and_nobody_follows_many(self):
        targets = make_targets(4100, 19)
        instances = {f"i{n}": f"dc{n % 19}" for n in range(330)}
        followed = _follow(targets, 19, instances, "dc7")
        followers = {name: 0 for name in targets if targets[name].data_centre == "dc7"}
        ranges = {(target.serves, target.layers) for target in targets.values()}
        for names in followed.values():
            self.assertLessEqual(len(names), MOST_FOLLOWED)
            covered = {(targets[name].serves, targets[name].layers) for name in names}
            self.assertEqual(covered, ranges)
            for name in names & followers.keys():
                followers[name] += 1
        self.assertGreaterEqual(min(followers.values()), FOLLOWERS)

    def test_one_instance_more_changes_little(self):
        targets = make_targets(600, 3)
        before = {f"i{n}": f"dc{n % 3}" for n in range(30)}
        after = before | {"i30": "dc0"}
        old, new = _follow(targets, 3, before), _follow(targets, 3, after)
        moved = sum(len(old[name] - new[name]) for name in before)
        self.assertLess(moved, sum(map(len, old.values())) / 10)

    def test_a_small_deployment_is_followed_whole(self):
        targets = make_targets(43, 3)
        followed = _follow(targets, 3, {"i1": "dc0", "i2": "dc1"})
        self.assertEqual(set(followed["i1"]), set(targets))


class PacerTest(unittest.TestCase):
    @given(st.lists(st.tuples(st.floats(0, 5), st.integers(1, 9000)), min_size=1))
    def test_bytes_stay_under_the_rate(self, reads):
        pacer = Pacer(bytes_per_s=1000.0)
        now, flowed = 0.0, 0
        for pause, size in reads:
            now += pause
            now += reserve(pacer, 400, now=now)
            self.assertLessEqual(flowed, 1000.0 * now + 0.01)
            charge(pacer, size - 400)
            flowed += size
