import random
import unittest
from collections import Counter

from hypothesis import given, settings, strategies as st

from fulmarward_core.discovery import order_addresses
from fulmarward_core.membership import (
    ListedInstance,
    Member,
    MemberState,
    MemberTable,
    list_usable,
    merge_member,
    update_listed,
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


_MEMBERS = st.lists(
    st.tuples(st.sampled_from(["lx", "px", "qx"]), st.sampled_from(MemberState)),
    max_size=40,
)


class OrderAddressesTest(unittest.TestCase):
    @given(_MEMBERS, st.integers(0, 9))
    def test_only_alive_members_local_first_with_remote_fallback(self, cases, seed):
        members = [
            _make_member(number, data_centre, state)
            for number, (data_centre, state) in enumerate(cases)
        ]
        by_address = {member.caller_address: member for member in members}
        addresses = order_addresses(
            members, data_centre="lx", generator=random.Random(seed)
        )
        chosen = [by_address[address] for address in addresses]
        alive = [item for item in members if item.state is MemberState.ALIVE]
        self.assertEqual({item.state for item in chosen} - {MemberState.ALIVE}, set())
        self.assertEqual(len(set(addresses)), min(8, len(alive)))
        is_remote = [member.data_centre != "lx" for member in chosen]
        self.assertEqual(is_remote, sorted(is_remote))
        remote = sum(member.data_centre != "lx" for member in alive)
        self.assertGreaterEqual(sum(is_remote), min(2, remote))

    @settings(max_examples=12)
    @given(st.integers(2, 20), st.integers(0, 9))
    def test_callers_are_spread_evenly(self, local_count, seed):
        members = [_make_member(number) for number in range(local_count)]
        members += [_make_member(100 + number, "px") for number in range(5)]
        generator = random.Random(seed)
        first_addresses = Counter(
            order_addresses(members, data_centre="lx", generator=generator)[0]
            for _ in range(local_count * 200)
        )
        self.assertEqual(
            set(first_addresses), {f"c{number}" for number in range(local_count)}
        )
        self.assertLess(max(first_addresses.values()), 200 * 1.4)
        self.assertGreater(min(first_addresses.values()), 200 * 0.6)

    def test_instance_marked_as_leaving_by_the_platform_is_not_used(self):
        # Guards against sending callers to an instance that the platform is removing.
        # The platform marks it as leaving in its list before the instance knows.
        table = MemberTable(own_name="i0")
        for number in range(3):
            merge_member(table, _make_member(number), now=0.0)
        listed = [
            ListedInstance(name=f"i{number}", peer_address="", is_leaving=number == 1)
            for number in range(3)
        ]
        update_listed(table, listed, now=0.0)
        self.assertEqual([item.name for item in list_usable(table)], ["i0", "i2"])
        update_listed(table, [], now=0.0)
        self.assertEqual(len(list_usable(table)), 3)
