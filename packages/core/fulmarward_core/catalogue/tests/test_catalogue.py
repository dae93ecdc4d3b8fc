import random
import unittest

from hypothesis import given, settings, strategies as st

from fulmarward_core.catalogue import RETURN_DURATION_S, KnownRow, TargetCatalogue
from fulmarward_core.layers.tests.fleets import make_target


def _make_row(name, version, *, value=b"x", record=True, at=0.0):
    target = make_target(name, "a", "large") if record and value is not None else None
    return KnownRow(name=name, version=version, value=value, record=target, heard_at=at)


def _list_names(catalogue, now=0.0):
    return sorted(target.name for target in catalogue.list_targets(now=now))


class TargetCatalogueTest(unittest.TestCase):
    @settings(max_examples=100)
    @given(
        st.lists(st.tuples(st.sampled_from("abcd"), st.booleans()), max_size=12),
        st.integers(0, 1000),
    )
    def test_news_in_any_order_and_twice_come_to_the_same(self, changes, seed):
        rows = [
            _make_row(name, version + 1, value=b"x" if is_there else None)
            for version, (name, is_there) in enumerate(changes)
        ]
        straight, mixed = TargetCatalogue(), TargetCatalogue()
        for row in rows:
            straight.take_changes([row], row.version, now=0.0)
        shuffled = rows * 2
        random.Random(seed).shuffle(shuffled)
        for row in shuffled:
            mixed.take_changes([row], 0, now=0.0)
        self.assertEqual(_list_names(straight), _list_names(mixed))

    def test_row_that_names_no_target_hides_only_itself(self):
        catalogue = TargetCatalogue()
        rows = [_make_row("a", 1), _make_row("b", 2, record=False)]
        catalogue.take_all(rows, 2, now=0.0)
        self.assertEqual(_list_names(catalogue), ["a"])

    def test_target_missing_from_a_full_reading_is_gone(self):
        catalogue = TargetCatalogue()
        catalogue.take_all([_make_row("a", 1), _make_row("b", 2)], 2, now=0.0)
        catalogue.take_all([_make_row("a", 1)], 5, now=1.0)
        self.assertEqual(_list_names(catalogue, 1.0), ["a"])

    def test_older_full_reading_changes_nothing(self):
        catalogue = TargetCatalogue()
        catalogue.take_all([_make_row("a", 9)], 9, now=0.0)
        catalogue.take_all([], 5, now=1.0)
        self.assertEqual(_list_names(catalogue, 1.0), ["a"])

    def test_targets_that_lapsed_while_the_store_was_out_may_return(self):
        # The store is out for longer than targets' rows live. At its return all rows
        # are gone, though the targets live and write again within two seconds; a
        # catalogue that took them as gone would refuse every request meanwhile.
        catalogue = TargetCatalogue()
        catalogue.take_all([_make_row("a", 1), _make_row("b", 2)], 2, now=10.0)
        self.assertTrue(catalogue.may_be_short(now=13.0))
        gone = [_make_row("a", 3, value=None), _make_row("b", 4, value=None)]
        catalogue.take_changes(gone, 4, now=15.1)
        self.assertEqual(_list_names(catalogue, 15.2), ["a", "b"])
        self.assertTrue(catalogue.may_be_short(now=15.2))
        catalogue.take_changes([_make_row("a", 5)], 5, now=16.0)
        self.assertEqual(_list_names(catalogue, 15.1 + RETURN_DURATION_S + 0.1), ["a"])

    def test_target_that_leaves_while_one_reading_fails_is_gone_at_once(self):
        # One instance is turned away by the store for a while and hears by a peer
        # that a target is gone, which has a store that answers. It must not go on
        # sending work there: the target serves for two seconds and no longer.
        catalogue = TargetCatalogue()
        catalogue.take_all([_make_row("a", 1), _make_row("b", 2)], 2, now=10.0)
        catalogue.confirm(2, at=11.5)
        catalogue.take_changes([_make_row("a", 3, value=None)], 3, now=13.0)
        self.assertEqual(_list_names(catalogue, 13.0), ["b"])

    def test_target_that_goes_while_the_store_answers_is_gone_at_once(self):
        catalogue = TargetCatalogue()
        catalogue.take_all([_make_row("a", 1)], 1, now=59.0)
        catalogue.take_changes([_make_row("a", 2, value=None)], 2, now=60.0)
        self.assertEqual(_list_names(catalogue, 60.0), [])

    def test_row_that_says_the_same_again_is_no_news(self):
        catalogue = TargetCatalogue()
        catalogue.take_all([_make_row("a", 1)], 1, now=0.0)
        same = [_make_row("a", 2)]
        self.assertEqual(catalogue.take_changes(same, 2, now=1.0), [])
        self.assertEqual(catalogue.list_rows(after=1), [])
        gone = [_make_row("a", 3, value=None)]
        self.assertEqual(catalogue.take_changes(gone, 3, now=2.0), gone)
        self.assertEqual(catalogue.list_rows(after=2), gone)

    def test_rows_for_a_peer_include_removals(self):
        catalogue = TargetCatalogue()
        catalogue.take_all([_make_row("a", 1), _make_row("b", 2)], 2, now=0.0)
        catalogue.take_changes([_make_row("a", 3, value=None)], 3, now=1.0)
        rows = catalogue.list_rows(after=2)
        self.assertEqual([(row.name, row.value) for row in rows], [("a", None)])
