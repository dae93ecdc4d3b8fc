"""Token budget that limits retries and hedged requests together."""

from fulmarward_core.retries._types import RetryBudget

#: Retries that each first attempt adds to the budget. In a failing or saturated pool,
#: retries would multiply the load that causes the failures; a tenth more does not.
RETRIES_PER_FIRST_TRY = 0.1

#: Maximum budget. It is about the slots of one target, so that all requests of one busy
#: target can be retried when it fails.
MAX_SAVED_RETRIES = 16.0


def note_first_try(budget: RetryBudget) -> None:
    """Add the budget for one first attempt."""
    budget.saved = min(MAX_SAVED_RETRIES, budget.saved + RETRIES_PER_FIRST_TRY)


def spend_retry(budget: RetryBudget) -> bool:
    """Take one retry or hedge from the budget; return whether one was available."""
    if budget.saved < 1:
        return False
    budget.saved -= 1
    return True
