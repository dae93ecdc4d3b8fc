"""Exchanges with peers which targets an instance has just found unreachable."""

from collections import deque
from collections.abc import Callable, Sequence

from msgspec.structs import replace
from websockets.asyncio.connection import Connection

from fulmarward.observability import log_event
from fulmarward_router.mesh._dissemination import Dissemination
from fulmarward_router.mesh._heartbeats import PeerLink
from fulmarward_router.mesh._messages import (
    InstanceIdentity,
    LossReport,
    LostTargetReport,
)
from fulmarward_router.mesh._state import MeshState

#: Seconds for which losses are collected before they are sent in one message.
BATCH_S = 0.01

#: Upper bound on the losses in a message. One with as many has about 2 KB.
MAX_PER_MESSAGE = 64

#: Upper bound on the messages that an instance sends in a second, its own and those
#: that it relays. Heartbeats carry the losses that exceed it.
MAX_MESSAGES_PER_S = 20

#: Seconds for which the loss of a target that was sent is not relayed again. Up to 30
#: instances find the same loss by themselves within 50 ms. Observers prolong the
#: exclusion by their heartbeats.
RELAY_PAUSE_S = 1.0


class LossExchange:
    """The messages about lost targets on the links of one instance."""

    def __init__(
        self,
        *,
        own: InstanceIdentity,
        state: MeshState,
        list_links: Callable[[], Sequence[PeerLink]],
        send: Callable[[Connection, object], None],
        send_time: Callable[[PeerLink], None],
        call_later: Callable[[float, Callable[[], None]], object],
        read_clock: Callable[[], float],
    ) -> None:
        self._own = own
        self._state = state
        #: Calls a function after some seconds.
        self._call_later = call_later
        self._read_clock = read_clock
        #: Names of the targets to report in the next message, in order of detection.
        self._pending: dict[str, None] = {}
        #: When the latest messages were sent.
        self._sent: deque[float] = deque(maxlen=MAX_MESSAGES_PER_S)
        #: When the loss of a target was last sent, for `RELAY_PAUSE_S`.
        self._sent_targets: dict[str, float] = {}
        self._dissemination = Dissemination(
            own=own, list_links=list_links, send=send, send_time=send_time
        )

    def notify(self, target: str) -> None:
        """Send to all instances soon that a target was found unreachable here."""
        if not self._pending:
            self._call_later(BATCH_S, self._send_pending)
        self._pending[target] = None

    def merge(
        self, message: LossReport, *, delay_s: float, received_on: Connection
    ) -> None:
        """Merge a report, and relay it if it is the first time that it arrives.

        One of unknown age is ignored, as losses in heartbeats are: it may have been
        held up for long.
        """
        if delay_s == float("inf") or not self._dissemination.is_new(message):
            return
        losses = message.losses[:MAX_PER_MESSAGE]
        self._state.merge_losses(losses, source=message.origin, delay_s=delay_s)
        now = self._read_clock()
        relayed = [
            loss
            for loss in _add_age(losses, delay_s)
            if loss.for_ms > 0 and not self._was_sent(loss.target, now)
        ]
        if relayed:
            self._send(
                replace(message, losses=tuple(relayed)), now, except_to=received_on
            )

    def _was_sent(self, target: str, now: float) -> bool:
        """Return whether the loss of a target was sent a short time ago."""
        return now - self._sent_targets.get(target, float("-inf")) < RELAY_PAUSE_S

    def _send_pending(self) -> None:
        losses = self._state.make_loss_reports(self._pending)
        self._pending.clear()
        for start in range(0, len(losses), MAX_PER_MESSAGE):
            report = LossReport(
                origin=self._own.name,
                boot=self._own.boot,
                sequence=self._dissemination.next_sequence(),
                losses=tuple(losses[start : start + MAX_PER_MESSAGE]),
            )
            self._send(report, self._read_clock())

    def _send(
        self, report: LossReport, now: float, *, except_to: Connection | None = None
    ) -> None:
        """Send a report unless that exceeds the rate of messages."""
        is_full = len(self._sent) == MAX_MESSAGES_PER_S
        if is_full and now - self._sent[0] < 1.0:
            log_event("loss_report_dropped", origin=report.origin)
            return
        self._sent.append(now)
        self._sent_targets = {
            target: sent_at
            for target, sent_at in self._sent_targets.items()
            if now - sent_at < RELAY_PAUSE_S
        }
        self._sent_targets.update((loss.target, now) for loss in report.losses)
        self._dissemination.send_to_all(report, except_to=except_to)


def _add_age(
    losses: Sequence[LostTargetReport], delay_s: float
) -> list[LostTargetReport]:
    """Return losses after a delay: known for longer, and excluded for less."""
    delay_ms = int(delay_s * 1000)
    return [
        replace(
            loss, for_ms=loss.for_ms - delay_ms, age_ms=max(0, loss.age_ms) + delay_ms
        )
        for loss in losses
    ]
