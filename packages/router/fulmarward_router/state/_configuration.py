"""The configuration in force. It is replaced as a whole, by newer versions only."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass

from fulmarward.observability import log_event
from fulmarward_core.routes import RoutingConfiguration
from fulmarward_core.spread import pack_in_steps
from fulmarward_core.steps import Steps
from fulmarward_core.store_versions import find_era
from fulmarward_router.ports import Row


@dataclass(frozen=True, kw_only=True)
class RefusedRow:
    """A row that could not be decoded, so that the one in force stays."""

    #: Version of the row in the store.
    store_version: int
    #: Who sent the row: `store` or `peer`.
    source: str
    #: The field that is malformed, with what was expected of it.
    cause: str


class ConfigurationHolder:
    """Holds the newest configuration that this instance could decode."""

    def __init__(
        self,
        *,
        decode: Callable[[Row], Steps[RoutingConfiguration | None]],
        read_clock: Callable[[], float] = time.perf_counter,
        handle_services_changed: Callable[[], None] = lambda: None,
    ) -> None:
        self._decode = decode
        #: Called once a configuration with other services than before is in force.
        self._handle_services_changed = handle_services_changed
        #: Measures the steps of a preparation, in seconds.
        self._read_clock = read_clock
        #: The preparations that have not ended, by the version of their rows.
        self._preparations: dict[int, _Preparation] = {}
        self._row: Row | None = None
        #: Compressed value of the row in force, as it is sent to peers.
        self.packed: bytes | None = None
        #: The configuration in force, `None` before the first.
        self.current: RoutingConfiguration | None = None
        #: When the store last confirmed it, to this instance or to a peer; seconds on
        #: the monotonic clock.
        self.confirmed_at = float("-inf")
        #: The row that was refused last, `None` once a configuration was adopted since.
        self.refused_row: RefusedRow | None = None
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
    def is_preparing(self) -> bool:
        """Whether a row has been received that may be newer and is not yet in force."""
        return bool(self._preparations)

    @property
    def row(self) -> Row | None:
        """The row of the configuration in force, as it is sent to peers."""
        return self._row

    async def apply_row(
        self, row: Row, *, source: str, packed: bytes | None = None
    ) -> bool:
        """Adopt the configuration in `row` if it is newer; return whether it was.

        It is prepared in steps, between which other tasks run, and put into force as a
        whole. `packed` is the compressed value if it is known. A row that cannot be
        decoded is refused, and the current configuration stays in force. The operator's
        version decides, since a row that is older for the store may be newer after the
        store lost its last changes.
        """
        while not self._is_older_row(row):
            same = self._preparations.get(row.version)
            if same is None:
                return await self._prepare_and_adopt(row, source, packed)
            await same.ended.wait()
        return False

    async def _prepare_and_adopt(
        self, row: Row, source: str, packed: bytes | None
    ) -> bool:
        # One that is reported while the row is prepared is not this one.
        reported_version = self.reported_version
        preparation = _Preparation(row, read_clock=self._read_clock)
        self._preparations[row.version] = preparation
        try:
            prepared = await self._run_steps(preparation, packed)
        except ValueError as error:
            self._refused_version = max(self._refused_version, reported_version)
            self.refused_row = RefusedRow(
                store_version=row.version, source=source, cause=str(error)
            )
            log_event("configuration_refused", **asdict(self.refused_row))
            return False
        finally:
            del self._preparations[row.version]
            preparation.ended.set()
        if prepared is None or prepared.configuration.version <= self.version:
            return False
        self._adopt(prepared, preparation, source=source)
        return True

    async def _run_steps(
        self, preparation: "_Preparation", packed: bytes | None
    ) -> "_Prepared | None":
        """Prepare a row; return `None` if it holds no newer configuration.

        It waits while the row of a newer change is prepared, and goes on afterwards, as
        that one may be refused, or older for the operator.
        """
        steps = self._prepare(preparation.row, packed)
        while not preparation.take_step(steps):
            await asyncio.sleep(0)
            while (newest := self._find_newest()) is not preparation:
                await newest.ended.wait()
        return preparation.result

    def _find_newest(self) -> "_Preparation":
        """Return the preparation of the newest row, for which the others wait."""
        return self._preparations[max(self._preparations)]

    def _prepare(self, row: Row, packed: bytes | None) -> Steps["_Prepared | None"]:
        configuration = yield from self._decode(row)
        if configuration is None or configuration.version <= self.version:
            return None
        if packed is None and row.value is not None:
            packed = yield from pack_in_steps(row.value)
        routes = sum(len(routes) for routes in configuration.routes.values())
        return _Prepared(configuration=configuration, packed=packed, routes=routes)

    def _adopt(
        self, prepared: "_Prepared", preparation: "_Preparation", *, source: str
    ) -> None:
        row, configuration = preparation.row, prepared.configuration
        previous, before = self.version, self.current
        self.current, self.refused_row = configuration, None
        self._row, self.packed = row, prepared.packed
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
            routes=prepared.routes,
            services=len(configuration.services),
            teams=_count_teams(configuration),
            keys=len(configuration.teams_by_key),
            prepared_s=round(self._read_clock() - preparation.began_at, 4),
            longest_step_s=round(preparation.longest_step_s, 4),
        )
        self.available.set()
        if before is None or before.services != configuration.services:
            self._handle_services_changed()

    def _is_older_row(self, row: Row) -> bool:
        """Return whether the store changed a row before the one in force, or is it."""
        return (
            self._row is not None
            and find_era(row.version) == find_era(self._row.version)
            and row.version <= self._row.version
        )


def _count_teams(configuration: RoutingConfiguration) -> int | None:
    """Return the number of teams that have a key, `None` without a list of teams."""
    if not configuration.requires_team_key:
        return None
    return len({team.name for team in configuration.teams_by_key.values()})


@dataclass(frozen=True, kw_only=True)
class _Prepared:
    """A configuration that can be put into force."""

    configuration: RoutingConfiguration
    #: Compressed value of its row, as it is sent to peers.
    packed: bytes | None
    #: Number of routes.
    routes: int


class _Preparation:
    """Progress of the preparation of a row."""

    def __init__(self, row: Row, *, read_clock: Callable[[], float]) -> None:
        self.row = row
        self._read_clock = read_clock
        #: When it began, and its longest step, in seconds on the clock.
        self.began_at = read_clock()
        self.longest_step_s = 0.0
        #: Set once it has succeeded or failed.
        self.ended = asyncio.Event()
        self.result: _Prepared | None = None

    def take_step(self, steps: Steps[_Prepared | None]) -> bool:
        """Take the next step; return whether it was the last."""
        began_at = self._read_clock()
        try:
            next(steps)
        except StopIteration as stop:
            self.result = stop.value
            return True
        finally:
            step_s = self._read_clock() - began_at
            self.longest_step_s = max(self.longest_step_s, step_s)
        return False
