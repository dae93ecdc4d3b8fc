"""The retry budget shared by the requests of one pool."""

from fulmarward._instance import Instance
from fulmarward.admission import find_pool
from fulmarward.observability import log_event
from fulmarward.requests._completion_request import CompletionRequest
from fulmarward_core.retries import note_first_try, spend_retry


def record_first_try(instance: Instance, work: CompletionRequest) -> None:
    """Count a first try, which adds a fraction of a retry to the budget."""
    note_first_try(find_pool(instance.admission, work.pipeline.model).budget)


def take_retry(instance: Instance, work: CompletionRequest) -> bool:
    """Spend one retry from the budget; return whether it allows one."""
    budget = find_pool(instance.admission, work.pipeline.model).budget
    if spend_retry(budget):
        return True
    instance.metrics.decisions.inc({"kind": "retry", "reason": "over_budget"})
    log_event(
        "retry_refused",
        request=work.request,
        team=work.team,
        pool=work.pipeline.model,
        saved=round(budget.saved, 2),
        reason="over_budget",
    )
    return False
