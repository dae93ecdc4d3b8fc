import unittest

from hypothesis import given, settings, strategies as st

from fulmarward_core.membership import (
    Member,
    MemberState,
    MemberTable,
    find_dead,
    forget_dead,
    list_strangers,
    merge_member,
    refute_rumour,
    select_differing,
    select_neighbours,
    take_rumours,
    worsen_member,
)

_NAMES = [f"i{number}" for number in range(8)]


class _Fleet:
    """Instances that exchange what the decisions say, without sockets."""

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
            self.hear(name, self.own.values())
            merge_member(self.tables[name], self.own[name], now=0.0)

    def hear(self, name, rumours):
        for rumour in rumours:
            if rumour.name == name:
                rumour = refute_rumour(self.own[name], rumour) or self.own[name]
                self.own[name] = rumour
            merge_member(self.tables[name], rumour, now=self.now)

    def lose(self, name, lost):
        """Have one instance reach none of `lost`, nor anybody for it."""
        table = self.tables[name]
        self.hear(name, [worsen_member(table.members[item]) for item in lost])

    def pass_time(self, seconds):
        self.now += seconds
        for name, table in self.tables.items():
            self.hear(name, find_dead(table, now=self.now))
            forget_dead(table, now=self.now)

    def level(self, first, second):
        one, two = self.tables[first], self.tables[second]
        sent = select_differing(two, one.digests)
        back = select_differing(one, two.digests)
        self.hear(first, [*sent, self.own[second]])
        self.hear(second, [*back, self.own[first]])

    def settle(self):
        """Let heartbeats go round for long; they level tables that differ."""
        for _ in range(20):
            for name, table in self.tables.items():
                for neighbour in select_neighbours(table):
                    self.hear(neighbour, take_rumours(table))
                    other = self.tables[neighbour]
                    self.hear(name, take_rumours(other))
                    if not table.untold and table.digests != other.digests:
                        self.level(name, neighbour)

    def read_states(self):
        return {
            name: {item.name: item.state for item in table.members.values()}
            for name, table in self.tables.items()
        }


class PartedTest(unittest.TestCase):
    @settings(max_examples=25)
    @given(
        st.integers(1, len(_NAMES) - 1),
        st.floats(4.0, 4_000.0),
        st.randoms(use_true_random=False),
    )
    def test_parted_data_centres_find_each_other_again(self, cut, seconds, generator):
        # Two regions lose each other for seconds or for an hour. Each holds the other
        # dead and may have forgotten it. Once one instance gets through to a stranger,
        # everyone is known to be alive everywhere, and callers are spread over all.
        fleet = _Fleet()
        fleet.settle()
        halves = (_NAMES[:cut], _NAMES[cut:])
        for half, other in (halves, halves[::-1]):
            for name in half:
                fleet.lose(name, other)
        for _ in range(20):
            fleet.pass_time(seconds / 20)
        seeds = [f"{name}:1" for name in _NAMES]
        first, second = generator.choice(halves[0]), generator.choice(halves[1])
        self.assertIn(f"{second}:1", list_strangers(fleet.tables[first], seeds))
        fleet.level(first, second)
        fleet.settle()
        alive = dict.fromkeys(_NAMES, MemberState.ALIVE)
        self.assertEqual(fleet.read_states(), dict.fromkeys(_NAMES, alive))
