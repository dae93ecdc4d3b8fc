"""The configuration in force; it goes forward only, and as a whole."""

import asyncio
from collections.abc import Callable

from fulmarward.observability import log_event
from fulmarward_core.routes import RoutingConfiguration
from fulmarward_router.ports import Row


class ConfigurationHolder:
    """The newest configuration that this instance has understood."""

    def __init__(self, *, decode: Callable[[Row], RoutingConfiguration | None]) -> None:
        self._decode = decode
        self._row: Row | None = None
        #: The configuration in force, `None` before the first.
        self.current: RoutingConfiguration | None = None
        #: When the store last confirmed it, here or by a peer; steady seconds.
        self.confirmed_at = float("-inf")
        #: Newest version that a peer has in force.
        self._reported_version = 0
        #: Set when the first configuration is in force.
        self.known = asyncio.Event()

    @property
    def version(self) -> int:
        """Version in force; 0 before the first."""
        return 0 if self.current is None else self.current.version

    @property
    def is_outdated(self) -> bool:
        """Whether a peer has a newer version in force."""
        return self._reported_version > self.version

    def record_reported(self, version: int) -> None:
        """Record the version that a peer has in force."""
        self._reported_version = max(self._reported_version, version)

    def record_confirmation(self, *, at: float) -> None:
        """Record that the store had nothing newer at a time on the steady clock."""
        self.confirmed_at = max(self.confirmed_at, at)

    @property
    def row(self) -> Row | None:
        """The row that is in force, for peers."""
        return self._row

    def take_row(self, row: Row, *, source: str, now: float) -> bool:
        """Put the configuration in `row` in force if it is newer; return whether.

        One that cannot be understood changes nothing: the old one serves on.
        """
        if self._row is not None and row.version <= self._row.version:
            return False
        try:
            configuration = self._decode(row)
        except ValueError as error:
            log_event(
                "configuration_refused",
                store_version=row.version,
                source=source,
                cause=str(error),
            )
            return False
        if configuration is None or configuration.version <= self.version:
            return False
        before, self.current = self.version, configuration
        self._row = row
        log_event(
            "configuration_adopted",
            version=configuration.version,
            before=before,
            store_version=row.version,
            source=source,
            size=len(row.value or b""),
            routes=sum(len(routes) for routes in configuration.routes.values()),
        )
        self.known.set()
        return True
