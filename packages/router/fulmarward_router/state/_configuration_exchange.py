"""Fetches the configuration from peers and sends it to them."""

from collections.abc import Callable, Coroutine

from fulmarward.observability import log_event
from fulmarward_core.spread import (
    FetchTimeout,
    PendingFetch,
    TransferLimiter,
    find_max_in_flight,
    unpack_value,
)
from fulmarward_router.mesh import (
    Answer,
    CompressedConfiguration,
    ConfigurationDeferred,
    ConfigurationReceived,
    ConfigurationSnapshot,
    Fetch,
    FetchCompressedConfiguration,
    FetchConfiguration,
    Heartbeat,
    InstanceIdentity,
    RowSnapshot,
    SupportsCompression,
)
from fulmarward_router.ports import Row
from fulmarward_router.state._configuration import ConfigurationHolder


class ConfigurationExchange:
    """Fetches newer versions from one peer at a time and answers peers' fetches."""

    def __init__(
        self,
        *,
        name: str,
        configuration: ConfigurationHolder,
        link_bytes_per_s: float | None,
        read_clock: Callable[[], float],
        notify_peers: Callable[[], None],
        start_task: Callable[[Coroutine[None, None, None]], object],
    ) -> None:
        self._name = name
        self._configuration = configuration
        self._read_clock = read_clock
        self._notify_peers = notify_peers
        self._start_task = start_task
        self._pending_fetch = PendingFetch()
        self._transfers = TransferLimiter(
            max_bytes=find_max_in_flight(link_bytes_per_s)
        )
        #: Start time, in ms since 1970, of each peer that answers
        #: `FetchCompressedConfiguration`.
        self._supports_compression: dict[str, int] = {}
        #: Number of uncompressed rows sent; such a fetch does not name its sender.
        self._plain_transfers = 0

    def merge_heartbeat(
        self, heartbeat: Heartbeat, *, sent_at: float, is_confirming: bool = True
    ) -> Fetch | None:
        """Record the version that a peer has in force; return the fetch to send it.

        `sent_at` is when the heartbeat was sent, in seconds on the monotonic clock.
        `is_confirming` is whether what the peer has may count as confirmed here.
        """
        own, now = self._configuration.version, self._read_clock()
        reported_at = now if sent_at == float("-inf") else sent_at
        self._configuration.record_reported(
            heartbeat.configuration_version, at=reported_at
        )
        if heartbeat.configuration_version > own:
            # What is being prepared is probably this version.
            if not self._configuration.is_preparing and self._begin_fetch(
                heartbeat, now
            ):
                return self._make_fetch(heartbeat.sender, own)
        elif (
            is_confirming
            and heartbeat.configuration_version == own
            and heartbeat.configuration_age_ms >= 0
        ):
            at = sent_at - heartbeat.configuration_age_ms / 1000
            self._configuration.record_confirmation(at=at)
        return None

    def _begin_fetch(self, heartbeat: Heartbeat, now: float) -> bool:
        """Return whether a fetch of the sender's newer version was started."""
        peer, own = heartbeat.sender.name, self._configuration.version
        _log_fetch_timeout(
            self._pending_fetch.check_timeout(known=own, now=now),
            cause="no newer version received",
        )
        if not self._pending_fetch.try_start(peer, known=own, now=now):
            return False
        log_event(
            "configuration_requested",
            peer=peer,
            version=heartbeat.configuration_version,
            known=own,
        )
        return True

    def _make_fetch(self, peer: InstanceIdentity, version: int) -> Fetch:
        """Return the kind of fetch that the peer supports."""
        if self._supports_compression.get(peer.name) == peer.boot:
            return FetchCompressedConfiguration(sender=self._name, version=version)
        return FetchConfiguration(version=version)

    def record_supports_compression(self, message: SupportsCompression) -> None:
        """Record that a peer answers fetches of the compressed configuration."""
        self._supports_compression[message.sender] = message.boot

    def answer_compressed(self, fetch: FetchCompressedConfiguration) -> Answer | None:
        """Return the answer to a fetch, `None` if there is no newer version."""
        row = self._find_newer(fetch.version)
        if row is None:
            return None
        compressed = self._configuration.packed
        size = len(compressed or b"")
        if not self._transfers.begin(fetch.sender, size, now=self._read_clock()):
            return ConfigurationDeferred(sender=self._name)
        self._log_transfer(row, fetch.sender, known=fetch.version, sent_bytes=size)
        return CompressedConfiguration(
            key=row.key, version=row.version, packed=compressed
        )

    def answer_plain(self, fetch: FetchConfiguration) -> Answer | None:
        """Return the uncompressed row, for peers of a release without compression.

        Such a peer neither names itself nor acknowledges the row, and repeats the fetch
        if there is no answer. The transfer limit keeps these rows from saturating the
        link.
        """
        row = self._find_newer(fetch.version)
        if row is None:
            return None
        size = len(row.value or b"")
        self._plain_transfers += 1
        peer = f"unpacked {self._plain_transfers}"
        if not self._transfers.begin(peer, size, now=self._read_clock()):
            return None
        self._log_transfer(row, "", known=fetch.version, sent_bytes=size)
        return ConfigurationSnapshot(
            row=RowSnapshot(key=row.key, version=row.version, value=row.value)
        )

    def _find_newer(self, version: int) -> Row | None:
        """Return the row in force if it is newer than `version`."""
        return (
            self._configuration.row if self._configuration.version > version else None
        )

    def _log_transfer(
        self, row: Row, peer: str, *, known: int, sent_bytes: int
    ) -> None:
        log_event(
            "configuration_sent",
            peer=peer,
            version=self._configuration.version,
            known=known,
            size=len(row.value or b""),
            packed=sent_bytes,
        )

    def record_deferred(self, message: ConfigurationDeferred) -> None:
        """Record that a peer cannot answer yet, as it is sending to other peers."""
        self._pending_fetch.note_deferred(message.sender, now=self._read_clock())
        log_event("configuration_deferred", peer=message.sender)

    def repeat_fetch(self, peer: str) -> Fetch | None:
        """Return the fetch to repeat at a peer that deferred it, if still needed.

        That is `None` if a newer version has arrived or another peer was asked.
        """
        own, now = self._configuration.version, self._read_clock()
        if self._configuration.is_preparing or not self._configuration.is_outdated:
            return None
        if not self._pending_fetch.try_start(peer, known=own, now=now):
            return None
        return FetchCompressedConfiguration(sender=self._name, version=own)

    def record_received(self, message: ConfigurationReceived) -> None:
        """Record that a peer has received the configuration sent to it."""
        self._transfers.end(message.sender)

    def handle_link_closed(self, peer: str) -> None:
        """End the transfer to a peer, and a fetch from it: its link has closed."""
        self._transfers.end(peer)
        timed_out = self._pending_fetch.note_lost(
            peer, known=self._configuration.version, now=self._read_clock()
        )
        _log_fetch_timeout(timed_out, cause="link closed")

    def merge_plain(self, snapshot: ConfigurationSnapshot) -> None:
        """Start to adopt the configuration that a peer sent."""
        row = snapshot.row
        row = Row(key=row.key, value=row.value, version=row.version)
        self._start_task(self._merge(row, packed=None))

    def merge_compressed(self, snapshot: CompressedConfiguration) -> None:
        """Start to adopt what a peer sent; damaged bytes are refused."""
        try:
            value = None if snapshot.packed is None else unpack_value(snapshot.packed)
        except ValueError as error:
            log_event(
                "configuration_refused",
                store_version=snapshot.version,
                source="peer",
                cause=str(error),
            )
            return
        row = Row(key=snapshot.key, value=value, version=snapshot.version)
        self._start_task(self._merge(row, packed=snapshot.packed))

    async def _merge(self, row: Row, *, packed: bytes | None) -> None:
        if await self._configuration.apply_row(row, source="peer", packed=packed):
            self._notify_peers()


def _log_fetch_timeout(fetch: FetchTimeout | None, *, cause: str) -> None:
    if fetch is not None:
        log_event(
            "configuration_fetch_timed_out",
            peer=fetch.peer,
            after_s=round(fetch.after_s, 3),
            cause=cause,
        )
