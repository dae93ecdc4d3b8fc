"""Exchanges requests for retries with peers, and relays them as a hub."""

from collections import OrderedDict
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, field

from msgspec.structs import replace
from websockets.asyncio.connection import Connection

from fulmarward_core.quotas import LoanKey
from fulmarward_router.mesh._heartbeats import PeerLink
from fulmarward_router.mesh._messages import RetryLoanAnswer, RetryLoanRequest
from fulmarward_router.mesh._state import LoanSource

#: Upper bound on the peers that a hub asks for one request.
MAX_RELAYS = 4

#: Upper bound on the relayed requests that may still be answered.
_MAX_RELAYED = 1024


class NoLoans:
    """The source of an instance that lends nothing."""

    def choose_lender(self, service: str, lenders: Collection[str]) -> str | None:
        """Return none."""

    def record_denied(self, service: str, lender: str, *, is_relayed: bool) -> None:
        """Ignore a denial."""

    def record_granted(self, service: str, lender: str) -> None:
        """Ignore a grant."""

    def lend(self, request: RetryLoanRequest) -> RetryLoanAnswer:
        """Return a denial."""
        return _make_denial(request)

    def handle_answer(self, answer: RetryLoanAnswer) -> None:
        """Ignore an answer."""


@dataclass(kw_only=True)
class _Relayed:
    """A request that a hub relays."""

    request: RetryLoanRequest
    #: Where it came from.
    connection: Connection
    #: Peer addresses of those that were asked.
    asked: list[str] = field(default_factory=list)


class LoanExchange:
    """The messages about borrowed retries on the links of one instance."""

    def __init__(
        self,
        *,
        loans: LoanSource,
        list_links: Callable[[], Sequence[PeerLink]],
        is_hub: Callable[[], bool],
        send: Callable[[Connection, object], None],
    ) -> None:
        self._loans = loans
        self._list_links = list_links
        self._is_hub = is_hub
        self._send = send
        self._relayed: OrderedDict[LoanKey, _Relayed] = OrderedDict()

    def list_lenders(self) -> list[str]:
        """Return the peer addresses of the instances that are linked."""
        return [link.address for link in self._list_links() if link.address]

    def request(self, lender: str, request: RetryLoanRequest) -> None:
        """Send a request to a linked instance."""
        links = self._list_links()
        link = next((link for link in links if link.address == lender), None)
        if link is not None:
            self._send(link.connection, request)

    def handle_request(self, request: RetryLoanRequest, connection: Connection) -> None:
        """Answer an instance that needs retries; a hub without any asks others."""
        key = _make_key(request)
        if key in self._relayed:
            return
        answer = self._loans.lend(request)
        if answer.count or request.is_relayed or not self._is_hub():
            self._send(connection, answer)
            return
        self._relayed[key] = _Relayed(request=request, connection=connection)
        if len(self._relayed) > _MAX_RELAYED:
            self._relayed.popitem(last=False)
        self._relay(key)

    def _relay(self, key: LoanKey) -> None:
        """Relay a request to a further peer, or answer it if there is none."""
        relayed = self._relayed[key]
        connections = {
            link.address: link.connection
            for link in self._list_links()
            if link.connection is not relayed.connection
            and link.address
            and link.address not in relayed.asked
        }
        service = relayed.request.service
        lender = self._loans.choose_lender(service, connections)
        if lender is None or len(relayed.asked) == MAX_RELAYS:
            del self._relayed[key]
            denial = replace(_make_denial(relayed.request), is_relayed=True)
            self._send(relayed.connection, denial)
            return
        relayed.asked.append(lender)
        # Until it answers, so that a silent one is not asked for each request.
        self._loans.record_denied(service, lender, is_relayed=False)
        self._send(connections[lender], replace(relayed.request, is_relayed=True))

    def handle_answer(self, answer: RetryLoanAnswer) -> None:
        """Handle the answer to a request of this instance, or to a relayed one."""
        key = _make_key(answer)
        if key not in self._relayed:
            self._loans.handle_answer(answer)
        elif answer.count > 0:
            relayed = self._relayed.pop(key)
            service, lender = relayed.request.service, relayed.asked[-1]
            self._loans.record_granted(service, lender)
            self._send(relayed.connection, answer)
        else:
            self._relay(key)


def _make_key(message: RetryLoanRequest | RetryLoanAnswer) -> LoanKey:
    return LoanKey(borrower=message.borrower, boot=message.boot, number=message.number)


def _make_denial(request: RetryLoanRequest) -> RetryLoanAnswer:
    return RetryLoanAnswer(
        borrower=request.borrower,
        boot=request.boot,
        number=request.number,
        count=0,
        is_relayed=request.is_relayed,
    )
