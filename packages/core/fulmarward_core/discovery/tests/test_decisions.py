import random
import unittest
from collections import Counter

from hypothesis import given, settings, strategies as st

from fulmarward_core.discovery import order_addresses
from fulmarward_core.membership import (
    Listed,
    Member,
    MemberState,
    MemberTable,
    list_usable,
    merge_member,
    take_list,
)


def _make_member(number, data_centre="lx", state=MemberState.ALIVE):
    return Member(
        name=f"i{number}",
        boot=1,
        version=1,
        state=state,
        data_centre=data_centre,
        peer_address=f"p{number}",
        caller_address=f"c{number}",
    )


_PLACES = st.lists(
    st.tuples(st.sampled_from(["lx", "px", "qx"]), st.sampled_from(MemberState)),
    max_size=40,
)


class OrderAddressesTest(unittest.TestCase):
    @given(_PLACES, st.integers(0, 9))
    def test_alive_ones_only_near_ones_first_and_a_way_out(self, places, seed):
        members = [
            _make_member(number, data_centre, state)
            for number, (data_centre, state) in enumerate(places)
        ]
        by_address = {member.caller_address: member for member in members}
        addresses = order_addresses(
            members, data_centre="lx", generator=random.Random(seed)
        )
        chosen = [by_address[address] for address in addresses]
        alive = [item for item in members if item.state is MemberState.ALIVE]
        self.assertEqual({item.state for item in chosen} - {MemberState.ALIVE}, set())
        self.assertEqual(len(set(addresses)), min(8, len(alive)))
        is_far = [member.data_centre != "lx" for member in chosen]
        self.assertEqual(is_far, sorted(is_far))
        far = sum(member.data_centre != "lx" for member in alive)
        self.assertGreaterEqual(sum(is_far), min(2, far))

    @settings(max_examples=12)
    @given(st.integers(2, 20), st.integers(0, 9))
    def test_callers_are_spread_evenly(self, near, seed):
        members = [_make_member(number) for number in range(near)]
        members += [_make_member(100 + number, "px") for number in range(5)]
        generator = random.Random(seed)
        firsts = Counter(
            order_addresses(members, data_centre="lx", generator=generator)[0]
            for _ in range(near * 200)
        )
        self.assertEqual(set(firsts), {f"c{number}" for number in range(near)})
        self.assertLess(max(firsts.values()), 200 * 1.4)
        self.assertGreater(min(firsts.values()), 200 * 0.6)

    def test_leaving_on_the_platforms_list_is_enough(self):
        # The platform takes an instance away and says so on its list; the instance
        # does not know yet. Callers would be sent to it until it is gone.
        table = MemberTable(own_name="i0")
        for number in range(3):
            merge_member(table, _make_member(number), now=0.0)
        listed = [
            Listed(name=f"i{number}", peer_address="", is_leaving=number == 1)
            for number in range(3)
        ]
        take_list(table, listed, now=0.0)
        self.assertEqual([item.name for item in list_usable(table)], ["i0", "i2"])
        take_list(table, [], now=0.0)
        self.assertEqual(len(list_usable(table)), 3)
