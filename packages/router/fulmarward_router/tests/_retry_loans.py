"""Instances that lend each other retries, for tests of its users."""

import asyncio

from fulmarward_router.state import RetryLoans


class LoanLinks:
    """Links between instances by name, on which messages take a few milliseconds."""

    def __init__(self):
        self.loans = {}
        self.sent = []
        #: Whether all messages are lost.
        self.is_silent = False

    def list_lenders(self):
        return [name for name in self.loans if name != "one"]

    def request_retries(self, lender, request):
        self.sent.append((lender, request))
        if not self.is_silent:
            asyncio.get_running_loop().call_later(0.005, self._answer, lender, request)

    def _answer(self, lender, request):
        answer = self.loans[lender].lend(request)
        self.loans[request.borrower].handle_answer(answer)


def make_retry_loans(
    own, *, links, find_budget, share, read_clock, list_listed=lambda: ()
):
    """Return what an instance lends and borrows; it has no open answers."""
    return RetryLoans(
        own=own,
        boot=1,
        read_clock=read_clock,
        find_budget=find_budget,
        find_share=lambda: share,
        count_open=lambda service: 0,
        may_lend=lambda service: True,
        list_listed=list_listed,
        is_large=lambda: False,
        get_links=lambda: links,
        count_loans=lambda service, outcome, count: None,
    )
