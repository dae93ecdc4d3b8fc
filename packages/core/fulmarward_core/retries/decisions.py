"""The budget that bounds retries and hedges together."""

from fulmarward_core.retries._types import RetryBudget

#: Retries earned by a first try. Load: a failing or saturated pool; harm: retries
#: multiply the load that made the tries fail; reason: a tenth more never does.
EARNED_BY_FIRST = 0.1

#: Most retries saved up. Load: the loss of one busy target; harm: none of its
#: requests is tried again; reason: it is about the slots of one target.
MOST_SAVED = 16.0


def note_first_try(budget: RetryBudget) -> None:
    """Earn a part of a retry."""
    budget.saved = min(MOST_SAVED, budget.saved + EARNED_BY_FIRST)


def spend_retry(budget: RetryBudget) -> bool:
    """Take one retry or hedge from the budget; return whether there was one."""
    if budget.saved < 1:
        return False
    budget.saved -= 1
    return True
