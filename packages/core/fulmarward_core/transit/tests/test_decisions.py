import unittest

from hypothesis import given, strategies as st

from fulmarward_core.transit import TransitClock

#: Seconds by which the clock of the other side is ahead.
_AHEAD_S = 5000.0

#: Each message's side, its seconds in transit, and the pause before it.
_MESSAGES = st.lists(
    st.tuples(st.booleans(), st.floats(0.0, 4.0), st.floats(0.0, 600.0)), max_size=30
)


class _Side:
    def __init__(self, *, ahead_s, drift):
        self.transit = TransitClock()
        self._ahead_s, self._drift = ahead_s, drift

    def read_clock(self, now):
        return now * (1 + self._drift) + self._ahead_s

    def send(self, now):
        own = self.read_clock(now)
        return own, self.transit.find_offset_s(now=own)

    def receive(self, message, now):
        sent_at, offset_s = message
        own = self.read_clock(now)
        return self.transit.record(sent_at=sent_at, offset_s=offset_s, now=own)


class TransitClockTest(unittest.TestCase):
    def setUp(self):
        self.sides = self.make_sides(drift=0.0)

    def make_sides(self, *, drift):
        return _Side(ahead_s=0.0, drift=0.0), _Side(ahead_s=_AHEAD_S, drift=drift)

    def exchange(self, sides, *, is_back, at, transit_s):
        """Send a message to the second side, or back; return the bound found there."""
        sender, receiver = reversed(sides) if is_back else sides
        return receiver.receive(sender.send(at), at + transit_s)

    @given(messages=_MESSAGES, drift=st.sampled_from((-1e-4, 0.0, 1e-4)))
    def test_bound_is_never_below_the_time_in_transit(self, messages, drift):
        """Guards against a late message that counts as just sent."""
        sides, now = self.make_sides(drift=drift), 0.0
        for is_back, transit_s, pause_s in messages:
            now += pause_s
            bound_s = self.exchange(sides, is_back=is_back, at=now, transit_s=transit_s)
            self.assertGreaterEqual(bound_s, transit_s - 0.001)
            now += transit_s

    def test_bound_is_at_most_a_round_trip_above_the_time_in_transit(self):
        """Guards against instances that take each other's reports for outdated."""
        for number in range(20):
            self.exchange(self.sides, is_back=True, at=number, transit_s=0.002)
            bound_s = self.exchange(
                self.sides, is_back=False, at=number + 0.5, transit_s=0.7
            )
        self.assertLess(bound_s, 0.71)

    def test_bound_is_infinite_until_the_peer_reports_an_offset(self):
        """Guards against the first message of a link, which may be delayed too."""
        first_s = self.exchange(self.sides, is_back=False, at=1.0, transit_s=0.002)
        self.assertEqual(first_s, float("inf"))
