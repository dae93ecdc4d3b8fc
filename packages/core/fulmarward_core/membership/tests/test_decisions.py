import unittest

from hypothesis import given, strategies as st

from fulmarward_core.membership import (
    Member,
    MemberState,
    MemberTable,
    merge_member,
    refute_rumour,
    select_neighbours,
    suspect_silent,
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
    def test_order_of_rumours_does_not_matter(self, rumours, generator):
        tables = []
        for _ in range(2):
            table = MemberTable(own_name="z")
            for rumour in rumours:
                merge_member(table, rumour, now=0.0)
            tables.append(table.members)
            generator.shuffle(rumours)
        self.assertEqual(tables[0], tables[1])

    @given(_RUMOURS)
    def test_own_word_beats_every_rumour_of_the_same_boot(self, rumours):
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


class SuspectSilentTest(unittest.TestCase):
    def test_silence_makes_suspect_then_dead(self):
        # An instance is frozen. Its neighbour hears nothing, suspects it after some
        # seconds and holds it dead some seconds later, unless it speaks before.
        table = MemberTable(own_name="z", members={"a": _make_member()})
        table.heard_at["a"] = 0.0
        self.assertEqual(suspect_silent(table, ["a"], now=2.9), [])
        (suspect,) = suspect_silent(table, ["a"], now=3.1)
        self.assertIs(suspect.state, MemberState.SUSPECT)
        merge_member(table, suspect, now=3.1)
        self.assertEqual(suspect_silent(table, ["a"], now=6.0), [])
        (dead,) = suspect_silent(table, ["a"], now=6.2)
        self.assertIs(dead.state, MemberState.DEAD)


class SelectNeighboursTest(unittest.TestCase):
    def test_everyone_is_reached_in_few_hops(self):
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
