import unittest

from hypothesis import given, strategies as st

from fulmarward_core.admission import (
    DemandTable,
    average_demand,
    choose_gossip_interval,
    count_demand,
    list_other_demand,
    make_own_row,
    merge_row,
    prune_rows,
    select_rows,
)
from fulmarward_core.admission.decisions._demand import MAX_MESSAGE_BYTES, _count_bytes


def _make_row(table, member, boot=1):
    return make_own_row(table, member=member, boot=boot)


class DemandTest(unittest.TestCase):
    @given(st.permutations(range(8)))
    def test_newest_row_wins_in_any_order_of_arrival(self, order):
        sender, receiver = DemandTable(), DemandTable()
        rows = []
        for number in range(8):
            sender.own = {"folha": float(number)}
            rows.append(_make_row(sender, "i1"))
        for place in order:
            merge_row(receiver, rows[place], now=1.0)
        self.assertEqual(list_other_demand(receiver, "folha"), {"i1": 7.0})

    def test_first_row_after_a_restart_replaces_the_old_one(self):
        table = DemandTable()
        merge_row(table, _make_row(DemandTable(sequence=900), "i1", boot=1), now=0.0)
        self.assertTrue(
            merge_row(table, _make_row(DemandTable(), "i1", boot=2), now=1.0)
        )

    @given(st.integers(0, 60), st.integers(0, 40))
    def test_messages_are_bounded_and_every_row_is_sent(self, members, teams):
        table = DemandTable()
        for number in range(members):
            other = DemandTable(own={f"t{team}": 1.0 for team in range(teams)})
            merge_row(table, _make_row(other, f"i{number}"), now=0.0)
        sent = set()
        for _ in range(members + 1):
            rows = select_rows(table, _make_row(table, "own"))
            self.assertLessEqual(sum(map(_count_bytes, rows)), MAX_MESSAGE_BYTES)
            sent |= {row.member for row in rows}
        self.assertEqual(sent, {"own"} | set(table.rows))

    def test_small_fleet_sends_each_second_and_large_one_each_third(self):
        cases = [(1, 1), (9, 1), (16, 1), (17, 3), (330, 3)]
        for members, pause in cases:
            with self.subTest(members=members):
                self.assertEqual(choose_gossip_interval(members), pause)

    def test_averages_follow_demand_and_decay(self):
        table = DemandTable()
        average_demand(table, now=0.0)
        for second in range(1, 31):
            count_demand(table, "folha", 100.0)
            average_demand(table, now=float(second))
        self.assertAlmostEqual(table.own["folha"], 100.0, delta=1.0)
        average_demand(table, now=100.0)
        self.assertEqual(table.own, {})

    def test_rows_of_departed_and_silent_instances_are_removed(self):
        table = DemandTable()
        for member, received_at in (("gone", 400.0), ("silent", 0.0), ("there", 400.0)):
            merge_row(table, _make_row(DemandTable(), member), now=received_at)
        prune_rows(table, members=frozenset({"silent", "there"}), now=401.0)
        self.assertEqual(list(table.rows), ["there"])
