import unittest
from dataclasses import replace

from hypothesis import given, strategies as st

from fulmarward_core.overlay import (
    FULL_MESH,
    HUBS_PER_DATA_CENTRE,
    TRIED_PER_TURN,
    Node,
    choose_hubs,
    choose_links,
    choose_subscriptions,
)


def _make_fleet(counts, *, dead=()):
    return [
        Node(
            name=f"{centre}{number:02}",
            data_centre=centre,
            is_alive=f"{centre}{number:02}" not in dead,
        )
        for centre, count in counts.items()
        for number in range(count)
    ]


def _link_all(fleet):
    """Return the links of all live instances, each chosen by the instance itself."""
    links = {}
    for own in fleet:
        if own.is_alive:
            others = [node for node in fleet if node.name != own.name]
            links[own.name] = choose_links(own, others)
    return links


def _reach(links, start):
    """Return the instances reachable from `start` along links in either direction."""
    reached, pending = {start}, [start]
    while pending:
        name = pending.pop()
        neighbours = set(links.get(name, ()))
        neighbours |= {other for other, chosen in links.items() if name in chosen}
        for other in neighbours - reached:
            if other in links:
                reached.add(other)
                pending.append(other)
    return reached


class ChooseLinksTest(unittest.TestCase):
    def test_small_fleets_form_a_full_mesh(self):
        fleet = _make_fleet({"a": 3, "b": 3, "c": 3})
        for name, links in _link_all(fleet).items():
            self.assertEqual(len(links), 8, name)

    def test_large_fleets_are_linked_through_hubs(self):
        """Guards against links and heartbeats that grow with a data centre's size."""
        fleet = _make_fleet({"a": 28, "b": 23, "c": 26})
        links = _link_all(fleet)
        self.assertEqual(links["a05"], {"a00", "a01"})
        self.assertEqual(links["a00"], {"a01", "b00", "b01", "c00", "c01"})
        cross_links = sum(
            name[0] != other[0] for name, chosen in links.items() for other in chosen
        )
        # A full mesh has 3,936 links between data centres.
        self.assertEqual(
            cross_links, 3 * HUBS_PER_DATA_CENTRE * 2 * HUBS_PER_DATA_CENTRE
        )

    def test_next_instance_replaces_a_dead_hub(self):
        fleet = _make_fleet({"a": 9, "b": 9}, dead={"a00", "b01"})
        links = _link_all(fleet)
        self.assertEqual(choose_hubs(fleet, "a"), ["a01", "a02"])
        self.assertIn("b00", links["a02"])
        self.assertIn("b02", links["a02"])

    def test_all_instances_of_a_silent_data_centre_are_tried_in_turn(self):
        # A data centre had a power failure. Only its last instance comes back, and it
        # waits for others to contact it.
        dead = {f"b{number:02}" for number in range(9)}
        own, *others = _make_fleet({"a": 9, "b": 9}, dead=dead)
        turns = [choose_links(own, others, turn=turn) & dead for turn in range(5)]
        self.assertEqual({len(tried) for tried in turns}, {TRIED_PER_TURN})
        self.assertEqual(frozenset().union(*turns), dead)
        other = replace(own, name="a05")
        self.assertEqual(choose_links(other, [own, *others]) & dead, frozenset())

    def test_instance_that_needs_dialling_is_linked_from_all_of_its_data_centre(self):
        """Guards against rollouts in which old instances hear from the hubs only."""
        fleet = _make_fleet({"a": 28, "b": 23})
        fleet[9] = replace(fleet[9], needs_dialling=True)
        for name, links in _link_all(fleet).items():
            if name[0] == "a" and name != "a09":
                self.assertIn("a09", links)

    def test_hubs_try_the_silent_instances_of_their_own_data_centre(self):
        """Guards against disconnected parts of a data centre with hubs of their own."""
        dead = {f"a{number:02}" for number in range(4, 24)}
        own, *others = _make_fleet({"a": 24, "b": 4}, dead=dead)
        turns = [choose_links(own, others, turn=turn) & dead for turn in range(5)]
        self.assertEqual(frozenset().union(*turns), dead)

    def test_instances_of_a_large_data_centre_subscribe_to_its_hubs(self):
        fleet = _make_fleet({"a": 28, "b": 9})
        for own in fleet:
            others = [node for node in fleet if node is not own]
            expected = ["a00", "a01"] if own.name[0] == "a" else []
            if own.name in expected:
                expected = []
            self.assertEqual(choose_subscriptions(own, others), expected)

    @given(
        st.integers(1, 30),
        st.integers(1, 30),
        st.integers(1, 12),
        st.sets(st.integers(0, 71)),
    )
    def test_all_live_instances_are_connected(self, a, b, c, dead):
        fleet = _make_fleet({"a": a, "b": b, "c": c})
        fleet = [replace(n, is_alive=i not in dead) for i, n in enumerate(fleet)]
        links = _link_all(fleet)
        for start in links:
            self.assertEqual(_reach(links, start), set(links))

    @given(st.integers(1, 40), st.integers(1, 40), st.integers(1, 40))
    def test_link_count_does_not_grow_with_other_data_centres(self, a, b, c):
        fleet = _make_fleet({"a": a, "b": b, "c": c})
        links = _link_all(fleet)
        if len(fleet) > FULL_MESH:
            self.assertLessEqual(max(map(len, links.values())), max(a, b, c) + 3)
