"""Exchanges the limits of targets with peers, and requests permits from owners."""

from collections import OrderedDict
from collections.abc import Callable, Sequence
from itertools import count

from msgspec.structs import replace
from websockets.asyncio.connection import Connection

from fulmarward_router.mesh._dissemination import (
    NOT_RELAYED,
    Dissemination,
    find_finite_delay_s,
)
from fulmarward_router.mesh._heartbeats import PeerLink
from fulmarward_router.mesh._members import MemberTable
from fulmarward_router.mesh._messages import (
    FetchLimits,
    InstanceIdentity,
    LimitReport,
    PermitRequest,
    PermitsGranted,
    TargetLimitReport,
)
from fulmarward_router.mesh._state import LimitSource

#: Milliseconds after which a request may be repeated if the owner is not reached.
_NO_OWNER_WAIT_MS = 200

#: Upper bound on the relayed requests that may still be answered.
_MAX_RELAYED = 4096


class LimitExchange:
    """The messages about limits on the links of one instance."""

    def __init__(
        self,
        *,
        own: InstanceIdentity,
        members: MemberTable,
        limits: LimitSource,
        list_links: Callable[[], Sequence[PeerLink]],
        send: Callable[[Connection, object], None],
        read_clock: Callable[[], float],
    ) -> None:
        self._own = own
        self._members = members
        self._limits = limits
        self._list_links = list_links
        self._send = send
        self._read_clock = read_clock
        self._dissemination = Dissemination(own=own, list_links=list_links, send=send)
        self._numbers = count(1)
        #: Where the answers to relayed requests go, and their numbers there.
        self._relayed: OrderedDict[int, tuple[Connection, int]] = OrderedDict()

    def notify(self, reports: Sequence[TargetLimitReport]) -> None:
        """Send limits that changed here to all instances."""
        sequence = self._dissemination.next_sequence()
        self._dissemination.send_to_all(self._make_report(sequence, reports))

    def open_link(self, connection: Connection) -> None:
        """Send all limits on a new link, and request those that the peer knows."""
        self.answer_fetch(connection)
        self._send(connection, FetchLimits())

    def answer_fetch(self, connection: Connection) -> None:
        """Send all limits to a peer, if there are any."""
        reports = self._limits.make_reports()
        if reports:
            self._send(connection, self._make_report(NOT_RELAYED, reports))

    def merge(
        self, message: LimitReport, *, delay_s: float, received_on: Connection
    ) -> None:
        """Merge a report, and relay it if it is the first time that it arrives."""
        if not self._dissemination.is_new(message):
            return
        delay_s = find_finite_delay_s(delay_s)
        self._limits.merge(message.limits, source=message.origin, delay_s=delay_s)
        if message.sequence != NOT_RELAYED:
            delayed = _add_age(message, delay_s)
            self._dissemination.send_to_all(delayed, except_to=received_on)

    def request_permits(
        self, owner: str, *, target: str, milli_per_s: int
    ) -> int | None:
        """Request permits from an owner; return the number of the request.

        Returns `None` if neither the owner nor a hub is linked.
        """
        request = PermitRequest(
            sender=self._own.name,
            number=next(self._numbers),
            target=target,
            milli_per_s=milli_per_s,
            is_relayed=False,
        )
        link = self._find_link(owner)
        if link is None:
            hubs = self._members.list_subscriptions(now=self._read_clock())
            link = next((x for x in self._list_links() if x.address in hubs), None)
        if link is None:
            return None
        self._send(link.connection, request)
        return request.number

    def handle_request(self, request: PermitRequest, connection: Connection) -> None:
        """Answer an instance that needs permits, or relay its request once."""
        owner = self._limits.find_owner(request.target)
        if owner == self._own.name:
            answer = self._limits.grant(
                request.target,
                instance=request.sender,
                number=request.number,
                milli_per_s=request.milli_per_s,
            )
            self._send(connection, answer)
            return
        link = None if owner is None else self._find_link(owner)
        if request.is_relayed or link is None:
            wait_ms = _NO_OWNER_WAIT_MS
            denied = PermitsGranted(number=request.number, count=0, wait_ms=wait_ms)
            self._send(connection, denied)
            return
        number = next(self._numbers)
        self._relayed[number] = connection, request.number
        if len(self._relayed) > _MAX_RELAYED:
            self._relayed.popitem(last=False)
        relayed = replace(request, number=number, is_relayed=True)
        self._send(link.connection, relayed)

    def handle_granted(self, answer: PermitsGranted) -> None:
        """Handle the answer to a request of this instance, or to a relayed one."""
        origin = self._relayed.pop(answer.number, None)
        if origin is None:
            self._limits.handle_granted(answer)
            return
        connection, number = origin
        self._send(connection, replace(answer, number=number))

    def _make_report(
        self, sequence: int, reports: Sequence[TargetLimitReport]
    ) -> LimitReport:
        return LimitReport(
            origin=self._own.name,
            boot=self._own.boot,
            sequence=sequence,
            limits=tuple(reports),
        )

    def _find_link(self, instance: str) -> PeerLink | None:
        address = self._members.find_address(instance)
        return next((x for x in self._list_links() if x.address == address), None)


def _add_age(message: LimitReport, delay_s: float) -> LimitReport:
    delay_ms = int(delay_s * 1000)
    limits = tuple(
        replace(limit, age_ms=limit.age_ms + delay_ms) for limit in message.limits
    )
    return replace(message, limits=limits)
