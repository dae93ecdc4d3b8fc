"""The configuration between instances: fetched from peers, and sent to them."""

from collections.abc import Callable

from fulmarward.observability import log_event
from fulmarward_core.spread import (
    FetchTimeout,
    PendingFetch,
    TransferLimiter,
    find_max_in_flight,
    pack_value,
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
    """Fetches newer versions from one peer at a time, and answers peers' fetches."""

    def __init__(
        self,
        *,
        name: str,
        configuration: ConfigurationHolder,
        link_bytes_per_s: float | None,
        read_clock: Callable[[], float],
        note_change: Callable[[], None],
    ) -> None:
        self._name = name
        self._configuration = configuration
        self._read_clock = read_clock
        self._note_change = note_change
        self._fetch = PendingFetch()
        self._transfers = TransferLimiter(
            max_bytes=find_max_in_flight(link_bytes_per_s)
        )
        #: Start time (ms since 1970) of each peer that accepts compressed ones.
        self._supports_compression: dict[str, int] = {}
        #: Plain rows sent to peers that have not said who they are.
        self._plain_transfers = 0
        #: The row in force as it travels, once a peer has asked for it.
        self._packed: tuple[Row, bytes | None] | None = None

    def merge_heartbeat(self, heartbeat: Heartbeat) -> Fetch | None:
        """Take in the version in force at a peer; return what to ask it for."""
        own, now = self._configuration.version, self._read_clock()
        self._configuration.record_reported(heartbeat.configuration_version)
        if heartbeat.configuration_version > own:
            if self._must_fetch(heartbeat, now):
                return self._make_fetch(heartbeat.sender, own)
        elif (
            heartbeat.configuration_version == own
            and heartbeat.configuration_age_ms >= 0
        ):
            at = now - heartbeat.configuration_age_ms / 1000
            self._configuration.record_confirmation(at=at)
        return None

    def _must_fetch(self, heartbeat: Heartbeat, now: float) -> bool:
        """Return whether to fetch the newer version that the sender reports."""
        peer, own = heartbeat.sender.name, self._configuration.version
        _log_fetch_timeout(
            self._fetch.give_up(known=own, now=now), cause="no newer version came"
        )
        if not self._fetch.ask(peer, known=own, now=now):
            return False
        log_event(
            "configuration_requested",
            peer=peer,
            version=heartbeat.configuration_version,
            known=own,
        )
        return True

    def _make_fetch(self, peer: InstanceIdentity, version: int) -> Fetch:
        """Return the fetch of the configuration that a peer understands."""
        if self._supports_compression.get(peer.name) == peer.boot:
            return FetchCompressedConfiguration(sender=self._name, version=version)
        return FetchConfiguration(version=version)

    def note_supports_compression(self, message: SupportsCompression) -> None:
        """Take in that a peer may be asked for the packed configuration."""
        self._supports_compression[message.sender] = message.boot

    def send_compressed(self, fetch: FetchCompressedConfiguration) -> Answer | None:
        """Return the answer to a fetch, `None` if there is nothing newer."""
        row = self._find_newer(fetch.version)
        if row is None:
            return None
        packed = self._pack(row)
        size = len(packed or b"")
        if not self._transfers.begin(fetch.sender, size, now=self._read_clock()):
            return ConfigurationDeferred(sender=self._name)
        self._log_transfer(row, fetch.sender, known=fetch.version, packed=size)
        return CompressedConfiguration(key=row.key, version=row.version, packed=packed)

    def send_plain(self, fetch: FetchConfiguration) -> Answer | None:
        """Return the row as code reads it that understands no packed one.

        Such a peer says neither who it is nor that the row has come, and asks again
        when it has no answer. Guards against a link that is full with such rows.
        """
        row = self._find_newer(fetch.version)
        if row is None:
            return None
        size = len(row.value or b"")
        self._plain_transfers += 1
        peer = f"unpacked {self._plain_transfers}"
        if not self._transfers.begin(peer, size, now=self._read_clock()):
            return None
        self._log_transfer(row, "", known=fetch.version, packed=size)
        return ConfigurationSnapshot(
            row=RowSnapshot(key=row.key, version=row.version, value=row.value)
        )

    def _find_newer(self, version: int) -> Row | None:
        """Return the row in force if it is newer than a version."""
        return (
            self._configuration.row if self._configuration.version > version else None
        )

    def _log_transfer(self, row: Row, peer: str, *, known: int, packed: int) -> None:
        log_event(
            "configuration_sent",
            peer=peer,
            version=self._configuration.version,
            known=known,
            size=len(row.value or b""),
            packed=packed,
        )

    def _pack(self, row: Row) -> bytes | None:
        """Return the bytes of the row in force as they travel, packed once."""
        if self._packed is None or self._packed[0] is not row:
            packed = None if row.value is None else pack_value(row.value)
            self._packed = (row, packed)
        return self._packed[1]

    def note_deferred(self, message: ConfigurationDeferred) -> None:
        """Take in that a peer sends to others first."""
        self._fetch.note_deferred(message.sender, now=self._read_clock())
        log_event("configuration_deferred", peer=message.sender)

    def note_received(self, message: ConfigurationReceived) -> None:
        """Take in that a snapshot was received by a peer."""
        self._transfers.end(message.sender)

    def note_link_lost(self, peer: str) -> None:
        """The link that a peer dialled has ended, and what was asked on it."""
        self._transfers.end(peer)
        given_up = self._fetch.note_lost(
            peer, known=self._configuration.version, now=self._read_clock()
        )
        _log_fetch_timeout(given_up, cause="its link ended")

    def merge_plain(self, snapshot: ConfigurationSnapshot) -> None:
        """Put what a peer sent in force."""
        row = snapshot.row
        self._merge(Row(key=row.key, value=row.value, version=row.version))

    def merge_compressed(self, snapshot: CompressedConfiguration) -> None:
        """Put what a peer sent in force; wrong bytes change nothing."""
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
        self._merge(Row(key=snapshot.key, value=value, version=snapshot.version))

    def _merge(self, row: Row) -> None:
        if self._configuration.take_row(row, source="peer", now=self._read_clock()):
            self._note_change()


def _log_fetch_timeout(given_up: FetchTimeout | None, *, cause: str) -> None:
    if given_up is not None:
        log_event(
            "configuration_fetch_timed_out",
            peer=given_up.peer,
            after_s=round(given_up.after_s, 3),
            cause=cause,
        )
