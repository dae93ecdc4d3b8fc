"""The configuration in force. It is replaced as a whole, by newer versions only."""

import asyncio
from collections.abc import Callable

from fulmarward.observability import log_event
from fulmarward_core.routes import RoutingConfiguration
from fulmarward_core.store_versions import find_era
from fulmarward_router.ports import Row


class ConfigurationHolder:
    """Holds the newest configuration that this instance could decode."""

    def __init__(self, *, decode: Callable[[Row], RoutingConfiguration | None]) -> None:
        self._decode = decode
        self._row: Row | None = None
        #: The configuration in force, `None` before the first.
        self.current: RoutingConfiguration | None = None
        #: When the store last confirmed it, to this instance or to a peer; seconds on
        #: the monotonic clock.
        self.confirmed_at = float("-inf")
        #: Newest version that any peer has reported to be in force.
        self.reported_version = 0
        #: When each newer version was first reported.
        self._missing_since: dict[int, float] = {}
        #: Newest version reported when a row could not be decoded here.
        self._refused_version = 0
        #: Set once a configuration is in force.
        self.available = asyncio.Event()

    @property
    def version(self) -> int:
        """The version in force, 0 before the first."""
        return 0 if self.current is None else self.current.version

    @property
    def is_outdated(self) -> bool:
        """Whether a peer has reported a newer version."""
        return self.reported_version > self.version

    def record_reported(self, version: int, *, at: float) -> None:
        """Record the version that a peer reported to be in force at `at`."""
        self.reported_version = max(self.reported_version, version)
        if version > self.version:
            self._missing_since.setdefault(version, at)

    def find_outdated_s(self, *, now: float) -> float:
        """Return for how many seconds a newer version has been missing here.

        One that cannot be decoded here does not count: waiting for it does not help,
        and the current configuration stays in force.
        """
        times = [
            since
            for version, since in self._missing_since.items()
            if version > self._refused_version
        ]
        return now - min(times, default=now)

    def record_confirmation(self, *, at: float) -> None:
        """Record that the store had nothing newer at `at` on the monotonic clock."""
        self.confirmed_at = max(self.confirmed_at, at)

    @property
    def row(self) -> Row | None:
        """The row of the configuration in force, as it is sent to peers."""
        return self._row

    def apply_row(self, row: Row, *, source: str, now: float) -> bool:
        """Adopt the configuration in `row` if it is newer; return whether it was.

        A row that cannot be decoded is refused, and the current configuration stays in
        force. The operator's version decides, since a row that is older for the store
        may be newer after the store lost its last changes.
        """
        if self._is_older_row(row):
            return False
        try:
            configuration = self._decode(row)
        except ValueError as error:
            self._refused_version = self.reported_version
            log_event(
                "configuration_refused",
                store_version=row.version,
                source=source,
                cause=str(error),
            )
            return False
        if configuration is None or configuration.version <= self.version:
            return False
        previous, self.current = self.version, configuration
        self._row = row
        self._missing_since = {
            version: since
            for version, since in self._missing_since.items()
            if version > configuration.version
        }
        log_event(
            "configuration_adopted",
            version=configuration.version,
            before=previous,
            store_version=row.version,
            source=source,
            size=len(row.value or b""),
            routes=sum(len(routes) for routes in configuration.routes.values()),
        )
        self.available.set()
        return True

    def _is_older_row(self, row: Row) -> bool:
        """Return whether the store changed a row before the one in force, or is it."""
        return (
            self._row is not None
            and find_era(row.version) == find_era(self._row.version)
            and row.version <= self._row.version
        )
