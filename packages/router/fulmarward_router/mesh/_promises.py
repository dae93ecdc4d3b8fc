"""Exchanges with peers the promises to rejected callers."""

from collections.abc import Callable, Iterable, Sequence

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
    RedeemedPromise,
    ReturnPromise,
    ReturnPromises,
)
from fulmarward_router.mesh._state import PromiseSource

#: Seconds for which changes are collected before they are sent in one message.
BATCH_S = 0.1

#: Upper bound on the promises, and on the redeemed ones, in a message. One with as many
#: has about 20 KB, which is sent in 0.1 s on a link of 200 KB/s.
MAX_PER_MESSAGE = 256


def name_process(name: str, boot: int) -> str:
    """Return what identifies a process of an instance in the keys of its promises."""
    return f"{name}:{boot}"


class NoPromises:
    """The source of an instance that keeps no promises."""

    def take_changes(
        self, limit: int
    ) -> tuple[Sequence[ReturnPromise], Sequence[RedeemedPromise]]:
        """Return nothing."""
        return (), ()

    def make_reports(self, limit: int) -> Sequence[ReturnPromise]:
        """Return nothing."""
        return ()

    def merge(
        self,
        promises: Iterable[ReturnPromise],
        redeemed: Iterable[RedeemedPromise],
        *,
        source: str,
        delay_s: float,
    ) -> None:
        """Ignore promises of a peer."""


class PromiseExchange:
    """The messages about promises on the links of one instance."""

    def __init__(
        self,
        *,
        own: InstanceIdentity,
        promises: PromiseSource,
        list_links: Callable[[], Sequence[PeerLink]],
        send: Callable[[Connection, object], None],
        call_later: Callable[[float, Callable[[], None]], object],
    ) -> None:
        self._own = own
        self._promises = promises
        self._send = send
        #: Calls a function after some seconds.
        self._call_later = call_later
        self._is_scheduled = False
        self._dissemination = Dissemination(own=own, list_links=list_links, send=send)

    def notify(self) -> None:
        """Send to all instances soon which promises were made or redeemed here."""
        if not self._is_scheduled:
            self._is_scheduled = True
            self._call_later(BATCH_S, self._send_changes)

    def send_all(self, connection: Connection) -> None:
        """Send to a peer the open promises, those that are due first.

        As many as fit in a message; a new link must not carry all of a large fleet's.
        """
        promises = self._promises.make_reports(MAX_PER_MESSAGE)
        if promises:
            self._send(connection, self._make_message(NOT_RELAYED, promises, ()))

    def merge(
        self, message: ReturnPromises, *, delay_s: float, received_on: Connection
    ) -> None:
        """Merge promises, and relay them if it is the first time that they arrive."""
        if not self._dissemination.is_new(message):
            return
        delay_s = find_finite_delay_s(delay_s)
        self._promises.merge(
            message.promises,
            message.redeemed,
            source=name_process(message.origin, message.boot),
            delay_s=delay_s,
        )
        if message.sequence != NOT_RELAYED:
            delayed = _subtract_delay(message, delay_s)
            self._dissemination.send_to_all(delayed, except_to=received_on)

    def _send_changes(self) -> None:
        self._is_scheduled = False
        while True:
            promises, redeemed = self._promises.take_changes(MAX_PER_MESSAGE)
            if not promises and not redeemed:
                return
            sequence = self._dissemination.next_sequence()
            message = self._make_message(sequence, promises, redeemed)
            self._dissemination.send_to_all(message)

    def _make_message(
        self,
        sequence: int,
        promises: Sequence[ReturnPromise],
        redeemed: Sequence[RedeemedPromise],
    ) -> ReturnPromises:
        return ReturnPromises(
            origin=self._own.name,
            boot=self._own.boot,
            sequence=sequence,
            promises=tuple(promises),
            redeemed=tuple(redeemed),
        )


def _subtract_delay(message: ReturnPromises, delay_s: float) -> ReturnPromises:
    delay_ms = int(delay_s * 1000)
    promises = tuple(
        replace(promise, due_ms=promise.due_ms - delay_ms)
        for promise in message.promises
    )
    return replace(message, promises=promises)
