import unittest

from hypothesis import given, settings, strategies as st

from fulmarward_core.membership import (
    Member,
    MemberState,
    MemberTable,
    dequeue_rumours,
    downgrade_member,
    find_dead,
    forget_dead,
    list_unconnected_addresses,
    merge_member,
    refute_rumour,
    select_differing,
    select_neighbours,
)

_NAMES = [f"i{number}" for number in range(8)]


class _Fleet:
    """Instances that exchange membership messages without sockets."""

    def __init__(self):
        self.own, self.tables, self.now = {}, {}, 0.0
        for name in _NAMES:
            self.own[name] = Member(
                name=name,
                boot=1,
                version=1,
                state=MemberState.ALIVE,
                data_centre="lx",
                peer_address=f"{name}:1",
                caller_address=f"{name}:2",
            )
        for name in _NAMES:
            self.tables[name] = MemberTable(own_name=name)
            self.receive(name, self.own.values())
            merge_member(self.tables[name], self.own[name], now=0.0)

    def receive(self, name, rumours):
        for rumour in rumours:
            if rumour.name == name:
                rumour = refute_rumour(self.own[name], rumour) or self.own[name]
                self.own[name] = rumour
            merge_member(self.tables[name], rumour, now=self.now)

    def suspect(self, name, unreachable):
        """Have one instance suspect members that neither it nor probers reach."""
        table = self.tables[name]
        self.receive(
            name, [downgrade_member(table.members[item]) for item in unreachable]
        )

    def pass_time(self, seconds):
        self.now += seconds
        for name, table in self.tables.items():
            self.receive(name, find_dead(table, now=self.now))
            forget_dead(table, now=self.now)

    def synchronize(self, first, second):
        one, two = self.tables[first], self.tables[second]
        from_two = select_differing(two, one.digests)
        from_one = select_differing(one, two.digests)
        self.receive(first, [*from_two, self.own[second]])
        self.receive(second, [*from_one, self.own[first]])

    def exchange_heartbeats(self):
        """Run 20 rounds of heartbeats, which also synchronize differing tables."""
        for _ in range(20):
            for name, table in self.tables.items():
                for neighbour in select_neighbours(table):
                    self.receive(neighbour, dequeue_rumours(table))
                    other = self.tables[neighbour]
                    self.receive(name, dequeue_rumours(other))
                    if (
                        not table.pending_transmissions
                        and table.digests != other.digests
                    ):
                        self.synchronize(name, neighbour)

    def read_states(self):
        return {
            name: {item.name: item.state for item in table.members.values()}
            for name, table in self.tables.items()
        }


class PartitionTest(unittest.TestCase):
    @settings(max_examples=25)
    @given(
        st.integers(1, len(_NAMES) - 1),
        st.floats(4.0, 4_000.0),
        st.randoms(use_true_random=False),
    )
    def test_partition_heals_through_one_unconnected_address(
        self, cut, seconds, generator
    ):
        # Two regions are partitioned for seconds or for an hour. Each considers the
        # other dead and may have forgotten it. Once one instance reaches an address of
        # the other side, all members are known to be alive everywhere again.
        fleet = _Fleet()
        fleet.exchange_heartbeats()
        halves = (_NAMES[:cut], _NAMES[cut:])
        for half, other in (halves, halves[::-1]):
            for name in half:
                fleet.suspect(name, other)
        for _ in range(20):
            fleet.pass_time(seconds / 20)
        seeds = [f"{name}:1" for name in _NAMES]
        first, second = generator.choice(halves[0]), generator.choice(halves[1])
        self.assertIn(
            f"{second}:1", list_unconnected_addresses(fleet.tables[first], seeds)
        )
        fleet.synchronize(first, second)
        fleet.exchange_heartbeats()
        alive = dict.fromkeys(_NAMES, MemberState.ALIVE)
        self.assertEqual(fleet.read_states(), dict.fromkeys(_NAMES, alive))
