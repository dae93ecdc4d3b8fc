import unittest

from hypothesis import given, strategies as st

from fulmarward_core.admission import (
    DemandTable,
    average_demand,
    choose_pause,
    count_demand,
    forget_rows,
    list_others,
    make_own_row,
    merge_row,
    select_rows,
)
from fulmarward_core.admission.decisions._demand import MOST_BYTES, _count_bytes


def _say(table, member, boot=1):
    return make_own_row(table, member=member, boot=boot)


class DemandTest(unittest.TestCase):
    @given(st.permutations(range(8)))
    def test_rows_in_any_order_end_in_the_newest(self, order):
        teller, hearer = DemandTable(), DemandTable()
        rows = []
        for number in range(8):
            teller.own = {"folha": float(number)}
            rows.append(_say(teller, "i1"))
        for place in order:
            merge_row(hearer, rows[place], now=1.0)
        self.assertEqual(list_others(hearer, "folha"), {"i1": 7.0})

    def test_a_restarted_instance_is_believed_at_its_first_word(self):
        table = DemandTable()
        merge_row(table, _say(DemandTable(sequence=900), "i1", boot=1), now=0.0)
        self.assertTrue(merge_row(table, _say(DemandTable(), "i1", boot=2), now=1.0))

    @given(st.integers(0, 60), st.integers(0, 40))
    def test_messages_are_bounded_and_every_row_gets_its_turn(self, members, teams):
        table = DemandTable()
        for number in range(members):
            other = DemandTable(own={f"t{team}": 1.0 for team in range(teams)})
            merge_row(table, _say(other, f"i{number}"), now=0.0)
        told = set()
        for _ in range(members + 1):
            rows = select_rows(table, _say(table, "own"))
            self.assertLessEqual(sum(map(_count_bytes, rows)), MOST_BYTES)
            told |= {row.member for row in rows}
        self.assertEqual(told, {"own"} | set(table.rows))

    def test_a_small_fleet_tells_each_second_and_a_large_one_each_third(self):
        cases = [(1, 1), (9, 1), (16, 1), (17, 3), (330, 3)]
        for members, pause in cases:
            with self.subTest(members=members):
                self.assertEqual(choose_pause(members), pause)

    def test_averages_follow_demand_and_fade(self):
        table = DemandTable()
        average_demand(table, now=0.0)
        for second in range(1, 31):
            count_demand(table, "folha", 100.0)
            average_demand(table, now=float(second))
        self.assertAlmostEqual(table.own["folha"], 100.0, delta=1.0)
        average_demand(table, now=100.0)
        self.assertEqual(table.own, {})

    def test_rows_of_the_gone_and_the_silent_are_forgotten(self):
        table = DemandTable()
        for member, heard_at in (("gone", 400.0), ("silent", 0.0), ("there", 400.0)):
            merge_row(table, _say(DemandTable(), member), now=heard_at)
        forget_rows(table, members=frozenset({"silent", "there"}), now=401.0)
        self.assertEqual(list(table.rows), ["there"])
