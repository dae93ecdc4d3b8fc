import unittest

from hypothesis import given, strategies as st

from fulmarward_core.performance import (
    Performance,
    get_limit,
    note_failure,
    note_first_token,
    note_refusal,
    note_success,
    review_pool,
)


def _make_pool(speeds):
    pool = {str(number): Performance() for number in range(len(speeds))}
    for performance, token_s in zip(pool.values(), speeds, strict=True):
        note_success(performance, tokens=11, streamed_s=10 * token_s)
    return pool


class LimitTest(unittest.TestCase):
    @given(st.lists(st.tuples(st.floats(0, 3), st.sampled_from("tfr")), max_size=200))
    def test_limit_stays_between_one_and_125_percent_of_the_slots(self, events):
        performance, now = Performance(), 0.0
        for waited_s, kind in events:
            now += 0.1
            if kind == "t":
                note_first_token(
                    performance,
                    slots=16,
                    in_flight=int(get_limit(performance, slots=16)),
                    load=16,
                    waited_s=waited_s,
                    prompt_tokens=100,
                    is_lent=False,
                    now=now,
                )
            else:
                note = {"f": note_failure, "r": note_refusal}[kind]
                note(performance, slots=16, now=now)
            self.assertLessEqual(1, get_limit(performance, slots=16))
            self.assertLessEqual(get_limit(performance, slots=16), 20)

    def test_long_prompt_is_not_taken_for_a_queue(self):
        performance = Performance(prefill_s=0.0002, token_s=0.01)
        note_first_token(
            performance,
            slots=16,
            in_flight=8,
            load=8,
            waited_s=1.01,
            prompt_tokens=5000,
            is_lent=False,
            now=1.0,
        )
        self.assertGreater(get_limit(performance, slots=16), 4)


class ReviewTest(unittest.TestCase):
    def test_slow_target_is_set_aside_until_its_probes_succeed(self):
        # The links of one target degrade, and its tokens take five times as long, so
        # one answer in ten is slow. The target is set aside, later probed with one
        # request at a time, and used normally again when the probes succeed.
        pool = _make_pool([0.01] * 9 + [0.05])
        self.assertEqual(review_pool(pool, now=0.0), [("9", "slow")])
        self.assertEqual(get_limit(pool["9"], slots=16), 1.0)
        for _ in range(3):
            note_success(pool["9"], tokens=11, streamed_s=0.1)
        self.assertEqual(review_pool(pool, now=10.0), [])
        self.assertEqual(get_limit(pool["9"], slots=16), 4.0)

    def test_failed_probe_doubles_the_time_set_aside(self):
        pool = _make_pool([0.01] * 9 + [0.05])
        review_pool(pool, now=0.0)
        note_failure(pool["9"], slots=16, now=3.0)
        self.assertEqual(review_pool(pool, now=3.0), [("9", "failing")])
        self.assertEqual(pool["9"].aside_until, 7.0)

    def test_fast_failing_target_is_set_aside(self):
        pool = _make_pool([0.01] * 4)
        for _ in range(3):
            note_failure(pool["0"], slots=16, now=0.0)
        self.assertEqual(review_pool(pool, now=0.0), [("0", "failing")])

    @given(st.lists(st.floats(0.001, 1), min_size=1, max_size=20), st.integers(0, 5))
    def test_slowdown_does_not_empty_a_pool(self, speeds, failures):
        pool = _make_pool(speeds)
        for performance in list(pool.values())[::2]:
            for _ in range(failures):
                note_failure(performance, slots=16, now=0.0)
        for step in range(3):
            review_pool(pool, now=step / 10)
        aside = [item for item in pool.values() if item.aside_until > 0.2]
        self.assertLessEqual(len(aside), max(1, len(pool) // 3))
        self.assertLess(len(aside), len(pool))
