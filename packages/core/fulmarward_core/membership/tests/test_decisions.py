import unittest

from hypothesis import given, strategies as st

from fulmarward_core.membership import (
    ListedInstance,
    Member,
    MemberState,
    MemberTable,
    MissAction,
    choose_miss_action,
    combine_digests,
    dequeue_rumours,
    downgrade_member,
    find_dead,
    forget_dead,
    list_unconnected_addresses,
    merge_member,
    refute_rumour,
    restart_suspicions,
    select_differing,
    select_neighbours,
    update_listed,
)


def _make_member(name="a", boot=1, version=1, state=MemberState.ALIVE):
    return Member(
        name=name,
        boot=boot,
        version=version,
        state=state,
        data_centre="lx",
        peer_address=f"{name}:1",
        caller_address=f"{name}:2",
    )


_RUMOURS = st.lists(
    st.builds(
        _make_member,
        name=st.sampled_from("abc"),
        boot=st.integers(1, 3),
        version=st.integers(1, 3),
        state=st.sampled_from(MemberState),
    ),
    max_size=12,
)


class MergeMemberTest(unittest.TestCase):
    @given(_RUMOURS, st.randoms(use_true_random=False))
    def test_tables_converge_whatever_the_order_of_rumours(self, rumours, generator):
        tables = []
        for _ in range(2):
            table = MemberTable(own_name="z")
            for rumour in rumours:
                merge_member(table, rumour, now=0.0)
            tables.append(table.members)
            generator.shuffle(rumours)
        self.assertEqual(tables[0], tables[1])

    @given(_RUMOURS)
    def test_refutation_beats_every_rumour_of_the_same_boot(self, rumours):
        own = _make_member(name="a", boot=3)
        table = MemberTable(own_name="a", members={"a": own})
        for rumour in rumours:
            if rumour.name != "a":
                continue
            own = refute_rumour(own, rumour) or own
        for rumour in [*rumours, own]:
            merge_member(table, rumour, now=0.0)
        if not any(item.state is MemberState.LEAVING for item in rumours):
            self.assertIs(table.members["a"].state, MemberState.ALIVE)


class FailureDetectionTest(unittest.TestCase):
    def test_unresponsive_member_is_suspected_then_dead(self):
        # An instance hangs. Its neighbour asks other members after two missed
        # heartbeats, suspects the instance if they do not reach it either, and declares
        # it dead some seconds later unless the instance refutes that.
        table = MemberTable(own_name="z")
        merge_member(table, _make_member(), now=0.0)
        self.assertIs(choose_miss_action(1, is_refused=False), MissAction.TRY_AGAIN)
        self.assertIs(choose_miss_action(2, is_refused=False), MissAction.ASK_OTHERS)
        self.assertEqual(find_dead(table, now=100.0), [])
        suspect = downgrade_member(table.members["a"])
        self.assertIs(suspect.state, MemberState.SUSPECT)
        merge_member(table, suspect, now=3.1)
        self.assertEqual(find_dead(table, now=6.0), [])
        (dead,) = find_dead(table, now=6.2)
        self.assertIs(dead.state, MemberState.DEAD)
        merge_member(table, _make_member(version=2), now=6.3)
        self.assertEqual(find_dead(table, now=100.0), [])

    def test_special_cases(self):
        # Refused connections, leaving members and unlisted suspects are decided without
        # a delay. A pause of this instance itself does not make other members dead.
        self.assertIs(choose_miss_action(1, is_refused=True), MissAction.ASK_OTHERS)
        leaving = _make_member(state=MemberState.LEAVING)
        self.assertIs(downgrade_member(leaving).state, MemberState.DEAD)
        table = MemberTable(own_name="z")
        merge_member(table, _make_member(state=MemberState.SUSPECT), now=100.0)
        update_listed(table, [], now=30.0)
        self.assertEqual(len(find_dead(table, now=100.5)), 1)
        update_listed(table, [], now=100.0)
        table.unlisted_at.clear()
        self.assertEqual(len(find_dead(table, now=200.0)), 1)
        restart_suspicions(table, now=200.0)
        self.assertEqual(find_dead(table, now=200.5), [])

    def test_dead_members_are_forgotten_and_their_addresses_tried(self):
        table = MemberTable(own_name="z")
        merge_member(table, _make_member(name="z"), now=0.0)
        merge_member(table, _make_member(state=MemberState.DEAD), now=0.0)
        listed = [ListedInstance(name="n", peer_address="n:1", is_leaving=False)]
        update_listed(table, listed, now=0.0)
        self.assertEqual(
            list_unconnected_addresses(table, ["s:1", "z:1"]), ["a:1", "n:1", "s:1"]
        )
        self.assertEqual(forget_dead(table, now=299.0), [])
        self.assertEqual(forget_dead(table, now=301.0), ["a"])
        self.assertEqual(set(table.members), {"z"})
        self.assertEqual(list_unconnected_addresses(table, []), ["n:1"])


class RefuteRumourTest(unittest.TestCase):
    def test_restart_after_the_wall_clock_was_set_back(self):
        # An instance is replaced on a machine whose clock is behind. Peers know a
        # higher boot number of its name and ignore its entry as outdated, so that no
        # callers are sent to it. It takes the boot number after its predecessor's,
        # never the same one.
        own = _make_member(boot=5)
        newer = refute_rumour(own, _make_member(boot=9, version=4))
        self.assertEqual((newer.boot, newer.version), (10, 1))
        table = MemberTable(own_name="b")
        merge_member(table, _make_member(boot=9, version=4), now=0.0)
        self.assertFalse(merge_member(table, own, now=0.0))
        self.assertTrue(merge_member(table, newer, now=0.0))


class DigestTest(unittest.TestCase):
    @given(_RUMOURS, _RUMOURS)
    def test_synchronization_makes_tables_equal(self, first, second):
        # Two parts of a fleet received different rumours during a partition. Once they
        # exchange the differing buckets, each knows every live member.
        tables = [MemberTable(own_name="z"), MemberTable(own_name="z")]
        for table, rumours in zip(tables, (first, second), strict=True):
            for rumour in rumours:
                merge_member(table, rumour, now=0.0)
        one, two = tables
        from_two = select_differing(two, one.digests)
        from_one = select_differing(one, two.digests)
        for table, members in ((one, from_two), (two, from_one)):
            for member in members:
                merge_member(table, member, now=0.0)
        self.assertEqual(combine_digests(one), combine_digests(two))
        self.assertEqual(one.digests, two.digests)

    @given(_RUMOURS)
    def test_each_change_is_sent_a_bounded_number_of_times(self, rumours):
        table = MemberTable(own_name="z")
        for rumour in rumours:
            merge_member(table, rumour, now=0.0)
        sent_names = []
        while batch := dequeue_rumours(table):
            sent_names += [member.name for member in batch]
        self.assertEqual(set(sent_names), set(table.members))
        self.assertLessEqual(len(sent_names), 6 * len(table.members))


class SelectNeighboursTest(unittest.TestCase):
    def test_every_member_is_reached_in_few_hops(self):
        names = [f"i{number:03}" for number in range(330)]
        members = {name: _make_member(name=name) for name in names}
        graph = {
            name: select_neighbours(MemberTable(own_name=name, members=members))
            for name in names
        }
        self.assertEqual({len(neighbours) for neighbours in graph.values()}, {9})
        reached, frontier, hops = {"i000"}, {"i000"}, 0
        while frontier:
            frontier = {far for near in frontier for far in graph[near]} - reached
            reached |= frontier
            hops += bool(frontier)
        self.assertEqual(len(reached), 330)
        self.assertLessEqual(hops, 9)
