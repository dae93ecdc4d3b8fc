import unittest

from hypothesis import given, strategies as st

from fulmarward_core.retries import (
    MAX_SAVED_RETRIES,
    RETRIES_PER_FIRST_TRY,
    RetryBudget,
    note_first_try,
    spend_retry,
)


class RetryBudgetTest(unittest.TestCase):
    @given(st.lists(st.booleans(), max_size=400))
    def test_retries_stay_in_proportion_to_first_attempts(self, is_first_try):
        budget = RetryBudget()
        start, first_tries, retries = budget.saved, 0, 0
        for is_first in is_first_try:
            if is_first:
                first_tries += 1
                note_first_try(budget)
            else:
                retries += spend_retry(budget)
            self.assertLessEqual(budget.saved, MAX_SAVED_RETRIES)
        self.assertLessEqual(
            retries, start + RETRIES_PER_FIRST_TRY * first_tries + 1e-6
        )
