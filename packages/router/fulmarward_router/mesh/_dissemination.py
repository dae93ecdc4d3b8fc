"""Carries reports of one instance to all others, each of which relays them once."""

import math
from collections.abc import Callable, Sequence
from typing import Protocol

from websockets.asyncio.connection import Connection

from fulmarward_router.mesh._heartbeats import PeerLink
from fulmarward_router.mesh._messages import InstanceIdentity

#: Sequence of a report that is not relayed.
NOT_RELAYED = 0


class Report(Protocol):
    """A message that each instance relays once."""

    #: The instance that sent it first, and when its process started, in ms since 1970.
    origin: str
    boot: int
    #: Increases with each report of that process; `NOT_RELAYED` for other messages.
    sequence: int


def _send_no_time(link: PeerLink) -> None:
    """Send nothing before a report."""


class Dissemination:
    """Numbers the reports of this instance, and recognizes those that are new."""

    def __init__(
        self,
        *,
        own: InstanceIdentity,
        list_links: Callable[[], Sequence[PeerLink]],
        send: Callable[[Connection, object], None],
        send_time: Callable[[PeerLink], None] = _send_no_time,
    ) -> None:
        self._own = own
        self._list_links = list_links
        self._send = send
        #: Sends the time on a link before a report. Without it, the report counts as
        #: sent with the last heartbeat.
        self._send_time = send_time
        self._sequence = NOT_RELAYED
        #: Start time and sequence of the latest report of each instance. Never evicted:
        #: one entry per instance ever heard.
        self._latest: dict[str, tuple[int, int]] = {}

    def next_sequence(self) -> int:
        """Return the number of this instance's next report."""
        self._sequence += 1
        return self._sequence

    def is_new(self, message: Report) -> bool:
        """Return whether a report was not seen before.

        One that is not relayed is new unless it is of this instance.
        """
        if message.origin == self._own.name:
            return False
        if message.sequence == NOT_RELAYED:
            return True
        latest = self._latest.get(message.origin, (0, NOT_RELAYED))
        if (message.boot, message.sequence) <= latest:
            return False
        self._latest[message.origin] = message.boot, message.sequence
        return True

    def send_to_all(
        self, message: object, *, except_to: Connection | None = None
    ) -> None:
        """Send a message on all links but one."""
        for link in self._list_links():
            if link.connection is not except_to:
                self._send_time(link)
                self._send(link.connection, message)


def find_finite_delay_s(delay_s: float) -> float:
    """Return the delay of a message in transit, 0 if it is not known."""
    return delay_s if math.isfinite(delay_s) else 0.0
