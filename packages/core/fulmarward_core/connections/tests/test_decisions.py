import unittest

from hypothesis import given, strategies as st

from fulmarward_core.connections import ConnectionLimits, Holding, choose_closed
from fulmarward_core.connections.decisions import HARD_FACTOR, MIN_IDLE_S

LIMITS = ConnectionLimits(held_bytes=1000, connections=8)


@st.composite
def draw_holdings(draw):
    values = st.tuples(st.integers(0, 600), st.floats(0.0, 9.0), st.booleans())
    return [
        Holding(key=key, held_bytes=held, idle_s=idle_s, is_served=is_served)
        for key, (held, idle_s, is_served) in enumerate(draw(st.lists(values)))
    ]


class ChooseClosedTest(unittest.TestCase):
    @given(draw_holdings())
    def test_who_is_closed(self, holdings):
        """Guards against callers that pay for others, and a limit that is none."""
        closed = choose_closed(holdings, limits=LIMITS)
        left = [each for each in holdings if each.key not in closed]
        held_bytes = sum(each.held_bytes for each in holdings)
        is_too_much = held_bytes > LIMITS.held_bytes
        if not is_too_much and len(holdings) <= LIMITS.connections:
            self.assertEqual(closed, [])
        for each in holdings:
            if each.key in closed:
                self.assertFalse(each.is_served)
                is_too_much = held_bytes > LIMITS.held_bytes * HARD_FACTOR
                is_excess = len(holdings) > LIMITS.connections
                is_idle = each.idle_s >= MIN_IDLE_S
                self.assertTrue(is_idle or is_too_much or is_excess)
        closable = [each for each in left if not each.is_served]
        idle = [each for each in closable if each.idle_s >= MIN_IDLE_S]
        held_bytes = sum(each.held_bytes for each in left)
        if any(each.held_bytes for each in idle):
            self.assertLessEqual(held_bytes, LIMITS.held_bytes)
        if any(each.held_bytes for each in closable):
            self.assertLessEqual(held_bytes, LIMITS.held_bytes * HARD_FACTOR)
        if closable:
            self.assertLessEqual(len(left), LIMITS.connections)

    def test_the_longest_without_progress_is_closed_first(self):
        quick, slow, large = (
            Holding(key=key, held_bytes=held_bytes, idle_s=idle_s)
            for key, held_bytes, idle_s in (
                ("a", 400, 2.0),
                ("b", 400, 5.0),
                ("c", 900, 0.1),
            )
        )
        self.assertEqual(choose_closed([quick, slow, large], limits=LIMITS), ["b", "a"])
