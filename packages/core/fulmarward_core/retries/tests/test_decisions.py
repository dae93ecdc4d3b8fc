import unittest

from hypothesis import given, strategies as st

from fulmarward_core.retries import (
    EARNED_BY_FIRST,
    MOST_SAVED,
    RetryBudget,
    note_first_try,
    spend_retry,
)


class RetryBudgetTest(unittest.TestCase):
    @given(st.lists(st.booleans(), max_size=400))
    def test_retries_stay_in_proportion_to_first_tries(self, is_first_try):
        budget = RetryBudget()
        start, firsts, retries = budget.saved, 0, 0
        for is_first in is_first_try:
            if is_first:
                firsts += 1
                note_first_try(budget)
            else:
                retries += spend_retry(budget)
            self.assertLessEqual(budget.saved, MOST_SAVED)
        self.assertLessEqual(retries, start + EARNED_BY_FIRST * firsts + 1e-6)
