"""Exchanges with peers which silent targets answer again."""

from collections.abc import Callable, Sequence

from msgspec.structs import replace
from websockets.asyncio.connection import Connection

from fulmarward_router.mesh._dissemination import Dissemination, find_finite_delay_s
from fulmarward_router.mesh._heartbeats import PeerLink
from fulmarward_router.mesh._messages import (
    InstanceIdentity,
    RegainedReport,
    RegainedTargetReport,
)
from fulmarward_router.mesh._state import MeshState


class RegainedExchange:
    """The messages about targets that answer again on the links of one instance."""

    def __init__(
        self,
        *,
        own: InstanceIdentity,
        state: MeshState,
        list_links: Callable[[], Sequence[PeerLink]],
        send: Callable[[Connection, object], None],
    ) -> None:
        self._own = own
        self._state = state
        self._dissemination = Dissemination(own=own, list_links=list_links, send=send)

    def notify(self, reports: Sequence[RegainedTargetReport]) -> None:
        """Send to all instances which targets answer again."""
        report = RegainedReport(
            origin=self._own.name,
            boot=self._own.boot,
            sequence=self._dissemination.next_sequence(),
            targets=tuple(reports),
        )
        self._dissemination.send_to_all(report)

    def merge(
        self, message: RegainedReport, *, delay_s: float, received_on: Connection
    ) -> None:
        """Merge a report, and relay it if it is the first time that it arrives."""
        if not self._dissemination.is_new(message):
            return
        delay_s = find_finite_delay_s(delay_s)
        self._state.merge_regained(
            message.targets, source=message.origin, delay_s=delay_s
        )
        delayed = _add_age(message, delay_s)
        self._dissemination.send_to_all(delayed, except_to=received_on)


def _add_age(message: RegainedReport, delay_s: float) -> RegainedReport:
    delay_ms = int(delay_s * 1000)
    targets = tuple(
        replace(target, age_ms=target.age_ms + delay_ms) for target in message.targets
    )
    return replace(message, targets=targets)
