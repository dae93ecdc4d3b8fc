"""Borrows retries from other instances, and lends them those not needed here."""

import asyncio
import random
from collections import OrderedDict
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from itertools import count
from typing import Protocol

from fulmarward.observability import log_event
from fulmarward_core.quotas import LoanKey, RetryBudget
from fulmarward_router.mesh import RetryLoanAnswer, RetryLoanRequest

#: Seconds to wait for the answer of one lender before another is asked.
LENDER_TIMEOUT_S = 0.05

#: Seconds for which a lender that had no retry, or did not answer, is not asked again,
#: and the same for a hub that asked other instances in vain.
DENIED_DURATION_S = 1.0
RELAYED_DENIED_DURATION_S = 0.1

#: The same for a hub that did not answer: it may wait for an instance that is silent.
SILENT_HUB_DURATION_S = 0.25

#: Upper bound on the requests whose answers may still arrive.
_MAX_ASKED = 256


class LoanLinks(Protocol):
    """Sends requests for retries to other instances."""

    def list_lenders(self) -> Sequence[str]:
        """Return the peer addresses of the instances that are linked."""

    def request_retries(self, lender: str, request: RetryLoanRequest) -> None:
        """Send a request to the lender at an address."""


@dataclass(frozen=True, kw_only=True)
class _Asked:
    """A request that was sent to a lender."""

    service: str
    lender: str
    #: Done with the answer.
    answered: asyncio.Future[None]


class RetryLoans:
    """What this instance borrows and lends of the retry budgets.

    Only answers that have started use borrowed retries, as all others can be rejected.
    """

    def __init__(
        self,
        *,
        own: str,
        boot: int,
        read_clock: Callable[[], float],
        find_budget: Callable[[str], RetryBudget],
        find_share: Callable[[], float],
        count_open: Callable[[str], int],
        may_lend: Callable[[str], bool],
        list_listed: Callable[[], Collection[str]],
        is_large: Callable[[], bool],
        get_links: Callable[[], LoanLinks],
        count_loans: Callable[[str, str, int], None],
    ) -> None:
        #: Name of this instance, and when its process started, in ms since 1970.
        self._own = own
        self._boot = boot
        self._read_clock = read_clock
        self._find_budget = find_budget
        self._find_share = find_share
        #: Returns how many answers of a service are open here.
        self._count_open = count_open
        #: Returns whether retries of a service are lent.
        self._may_lend = may_lend
        #: Returns the peer addresses of the instances that callers are sent to: these
        #: have most of each budget.
        self._list_listed = list_listed
        #: Returns whether the fleet is so large that most peers are reached by hubs.
        self._is_large = is_large
        self._get_links = get_links
        #: Counts retries by service and by what became of them.
        self._count_loans = count_loans
        self._numbers = count(1)
        self._asked: OrderedDict[int, _Asked] = OrderedDict()
        #: Until when lenders are not asked, by service and address.
        self._denied_until: dict[tuple[str, str], float] = {}
        #: The tasks that borrow, by service.
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def request(self, service: str, request_id: str) -> None:
        """Borrow a retry in the background for a started answer that was denied one.

        To be repeated while it needs one.
        """
        borrowed = self._find_budget(service).borrowed
        borrowed.note_need(request_id, now=self._read_clock())
        if service not in self._tasks:
            task = asyncio.create_task(self._borrow(service))
            self._tasks[service] = task
            task.add_done_callback(lambda _: self._tasks.pop(service, None))

    async def _borrow(self, service: str) -> None:
        """Ask one lender after another while retries are missing."""
        borrowed = self._find_budget(service).borrowed
        while missing := borrowed.count_missing(now=self._read_clock()):
            lender = self.choose_lender(service, self._get_links().list_lenders())
            if lender is None:
                return
            await self._ask(service, lender, missing)

    async def _ask(self, service: str, lender: str, missing: int) -> None:
        number = next(self._numbers)
        answered = asyncio.get_running_loop().create_future()
        self._asked[number] = _Asked(service=service, lender=lender, answered=answered)
        if len(self._asked) > _MAX_ASKED:
            self._asked.popitem(last=False)
        # The time of the request is taken before it is sent.
        self._find_budget(service).borrowed.begin_request(
            number, count=missing, now=self._read_clock()
        )
        request = RetryLoanRequest(
            borrower=self._own,
            boot=self._boot,
            number=number,
            service=service,
            count=missing,
            is_relayed=False,
        )
        self._get_links().request_retries(lender, request)
        try:
            async with asyncio.timeout(LENDER_TIMEOUT_S):
                await answered
        except TimeoutError:
            self._log_denied(service, lender, cause="timeout")
            is_hub = self._is_large()
            silent_s = SILENT_HUB_DURATION_S if is_hub else DENIED_DURATION_S
            self._denied_until[service, lender] = self._read_clock() + silent_s

    def choose_lender(self, service: str, lenders: Collection[str]) -> str | None:
        """Return one of the lenders that may have a retry, `None` without any.

        Those that callers are sent to come first.
        """
        now = self._read_clock()
        self._denied_until = {
            denied: until for denied, until in self._denied_until.items() if until > now
        }
        untried = [x for x in lenders if (service, x) not in self._denied_until]
        listed = self._list_listed()
        candidates = [address for address in untried if address in listed] or untried
        return random.choice(candidates) if candidates else None

    def record_denied(self, service: str, lender: str, *, is_relayed: bool) -> None:
        """Record that a lender, or those that it asked, had no retry left."""
        duration_s = RELAYED_DENIED_DURATION_S if is_relayed else DENIED_DURATION_S
        until = self._read_clock() + duration_s
        self._denied_until[service, lender] = until

    def record_granted(self, service: str, lender: str) -> None:
        """Record that a lender had a retry."""
        self._denied_until.pop((service, lender), None)

    def handle_answer(self, answer: RetryLoanAnswer) -> None:
        """Handle the answer to a request; what is late or not asked for is not used."""
        if (answer.borrower, answer.boot) != (self._own, self._boot):
            return
        asked = self._asked.pop(answer.number, None)
        if asked is None:
            return
        borrowed = self._find_budget(asked.service).borrowed.record_answer(
            answer.number, count=answer.count, now=self._read_clock()
        )
        if not borrowed:
            cause = "late" if answer.count > 0 else "none left"
            self._log_denied(asked.service, asked.lender, cause=cause)
            self.record_denied(
                asked.service, asked.lender, is_relayed=answer.is_relayed
            )
        else:
            self._count_loans(asked.service, "borrowed", borrowed)
            log_event(
                "retry_borrowed",
                service=asked.service,
                peer=asked.lender,
                count=borrowed,
            )
        if not asked.answered.done():
            asked.answered.set_result(None)

    def _log_denied(self, service: str, lender: str, *, cause: str) -> None:
        self._count_loans(service, "denied", 1)
        log_event("retry_loan_denied", service=service, peer=lender, cause=cause)

    def lend(self, request: RetryLoanRequest) -> RetryLoanAnswer:
        """Return the answer of this instance to a request for retries."""
        lent = self._lend(request) if self._may_lend(request.service) else 0
        return RetryLoanAnswer(
            borrower=request.borrower,
            boot=request.boot,
            number=request.number,
            count=lent,
            is_relayed=request.is_relayed,
        )

    def _lend(self, request: RetryLoanRequest) -> int:
        service, now = request.service, self._read_clock()
        share = self._find_share()
        budget = self._find_budget(service)
        key = LoanKey(
            borrower=request.borrower, boot=request.boot, number=request.number
        )
        lent = budget.lend(
            key,
            count=request.count,
            open_answers=self._count_open(service),
            share=share,
            now=now,
        )
        if lent:
            usage = budget.count(share=share, now=now)
            self._count_loans(service, "lent", lent)
            log_event(
                "retry_lent",
                service=service,
                peer=request.borrower,
                count=lent,
                used=usage.used,
                allowed=round(usage.allowed, 2),
            )
        return lent
