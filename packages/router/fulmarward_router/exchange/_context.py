"""What the parts that serve requests have in common."""

from collections.abc import Callable
from dataclasses import dataclass

from fulmarward.observability import log_event
from fulmarward_core.catalogue import TargetCatalogue
from fulmarward_core.loads import LoadLedger, RepeatAllowance
from fulmarward_core.paces import PaceTable
from fulmarward_core.repeats import choose_end, may_repeat
from fulmarward_core.results import ResultCode
from fulmarward_core.suspicion import SuspicionTable
from fulmarward_router.exchange._send import TargetClient
from fulmarward_router.exchange._work import Refused, Work
from fulmarward_router.ports import TargetDialect


@dataclass(frozen=True, kw_only=True)
class ServiceContext:
    """What is known of the fleet, and the ways to it."""

    #: Sends attempts, and speaks with targets.
    client: TargetClient
    dialect: TargetDialect
    #: The targets, which of them to leave out or are slow, and what runs on them.
    catalogue: TargetCatalogue
    suspicions: SuspicionTable
    paces: PaceTable
    ledger: LoadLedger
    #: Returns the repeats that a service may still be sent.
    find_allowance: Callable[[str], RepeatAllowance]
    #: Returns how many instances serve, this one included.
    count_instances: Callable[[], int]
    #: Name of this instance, and of its data centre.
    instance: str
    data_centre: str
    #: Returns seconds on the steady clock.
    read_clock: Callable[[], float]

    def take_repeat(self, work: Work) -> bool:
        """Take one more attempt, if the route and the allowance of all have one."""
        now = self.read_clock()
        tally = work.make_tally()
        is_allowed = may_repeat(tally, now=now)
        allowance = self.find_allowance(work.service)
        instances = self.count_instances()
        is_taken = is_allowed and allowance.take_repeat(instances=instances, now=now)
        count = allowance.count(instances=instances, now=now)
        log_event(
            "repeat_taken" if is_taken else "repeat_denied",
            request=work.facts.request_id,
            cause=None if is_taken else ("allowance" if is_allowed else "route"),
            attempts=tally.attempts,
            runs=tally.runs,
            most_attempts=tally.most_attempts,
            left_s=round(tally.deadline - now, 3),
            used=count.used,
            allowed=round(count.allowed, 2),
            requests=count.requests,
            instances=instances,
        )
        return is_taken

    def make_refusal(self, work: Work, *, cause: str, retry_after_s: float) -> Refused:
        """Return the truthful end of a request that no target answered.

        When to come back is told where nothing ran and time is left.
        """
        code = choose_end(work.make_tally(), now=self.read_clock())
        has_run = code is not ResultCode.TARGET_REFUSED
        return Refused(
            code, cause=cause, retry_after_s=None if has_run else retry_after_s
        )
