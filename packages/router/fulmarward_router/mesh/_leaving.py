"""Exchanges with peers which targets have said that they leave."""

from collections.abc import Callable, Sequence

from msgspec.structs import replace
from websockets.asyncio.connection import Connection

from fulmarward_router.mesh._dissemination import (
    NOT_RELAYED,
    Dissemination,
    find_finite_delay_s,
)
from fulmarward_router.mesh._heartbeats import PeerLink
from fulmarward_router.mesh._messages import (
    InstanceIdentity,
    LeavingReport,
    LeavingTargetReport,
)
from fulmarward_router.mesh._state import LeavingSource


class LeavingExchange:
    """The messages about leaving targets on the links of one instance."""

    def __init__(
        self,
        *,
        own: InstanceIdentity,
        leaving: LeavingSource,
        list_links: Callable[[], Sequence[PeerLink]],
        send: Callable[[Connection, object], None],
    ) -> None:
        self._own = own
        self._leaving = leaving
        self._send = send
        self._dissemination = Dissemination(own=own, list_links=list_links, send=send)

    def notify(self, reports: Sequence[LeavingTargetReport]) -> None:
        """Send to all instances which targets said here that they leave."""
        sequence = self._dissemination.next_sequence()
        self._dissemination.send_to_all(self._make_report(sequence, reports))

    def send_all(self, connection: Connection) -> None:
        """Send to a peer all targets that said that they leave, if there are any."""
        reports = self._leaving.make_reports()
        if reports:
            self._send(connection, self._make_report(NOT_RELAYED, reports))

    def merge(
        self, message: LeavingReport, *, delay_s: float, received_on: Connection
    ) -> None:
        """Merge a report, and relay it if it is the first time that it arrives."""
        if not self._dissemination.is_new(message):
            return
        delay_s = find_finite_delay_s(delay_s)
        self._leaving.merge(message.targets, source=message.origin, delay_s=delay_s)
        if message.sequence != NOT_RELAYED:
            delayed = _add_age(message, delay_s)
            self._dissemination.send_to_all(delayed, except_to=received_on)

    def _make_report(
        self, sequence: int, reports: Sequence[LeavingTargetReport]
    ) -> LeavingReport:
        return LeavingReport(
            origin=self._own.name,
            boot=self._own.boot,
            sequence=sequence,
            targets=tuple(reports),
        )


def _add_age(message: LeavingReport, delay_s: float) -> LeavingReport:
    delay_ms = int(delay_s * 1000)
    targets = tuple(
        replace(target, age_ms=target.age_ms + delay_ms) for target in message.targets
    )
    return replace(message, targets=targets)
