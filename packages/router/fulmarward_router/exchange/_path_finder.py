"""Chooses a path of targets for a request to an engine service."""

from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, replace

from fulmarward_core.catalogue import TargetCatalogue
from fulmarward_core.fleet import (
    EngineModel,
    LayerRange,
    TargetRecord,
    compute_kv_capacity,
    find_engine_misfit,
)
from fulmarward_core.layers import find_gaps
from fulmarward_core.loads import LoadLedger, TargetLoad
from fulmarward_core.overflow import OverflowPlan
from fulmarward_core.paces import PaceTable
from fulmarward_core.paths import (
    HUB_TERMS,
    HUB_WAIT_TERMS,
    Hop,
    KvCapacity,
    Occupancy,
    PathRequest,
    ReadOccupancy,
    Stage,
    StageIndex,
    compute_preference,
    scale_kv,
)
from fulmarward_core.suspicion import LOW_OCCUPANCY_SHARE, SuspicionTable

#: Seconds after the start in which the loads of the other instances are estimated.
SCALED_DURATION_S = 3.0

_NO_LOAD = TargetLoad()
_IDLE = Occupancy(kv_reserved=0.0, running=0, first_running=0, pace=1.0)

#: Seconds for which the measured capacity of a service is reused: each waiting request
#: asks for it in each of its searches. A measurement takes about 5 us for each target,
#: so that the time per target bounds the cost to 1% of a core in a fleet of any size.
CAPACITY_DURATION_S = 0.05
CAPACITY_DURATION_S_PER_TARGET = 0.0005

#: Versions of a service of which the targets are kept indexed. Requests under way use
#: the version with which they began.
_MAX_INDEXED_VERSIONS = 4


@dataclass(frozen=True, kw_only=True)
class _ServiceTargets:
    """The targets of a service at one revision of the catalogue."""

    revision: int
    engine: EngineModel
    index: StageIndex
    #: Names of all targets, and of those that are leaving the fleet.
    names: tuple[str, ...]
    leaving: frozenset[str]


@dataclass(frozen=True, kw_only=True)
class PathExclusions:
    """Why there is no path through all layers."""

    #: Ranges of layers that no usable target holds.
    missing: tuple[LayerRange, ...]
    #: Number of excluded targets by reason: `leaving`, or that of their suspicion.
    reasons: Mapping[str, int]


class PathFinder:
    """Chooses paths by the targets' layers, loads, paces and suspicions."""

    def __init__(
        self,
        *,
        instance: str,
        catalogue: TargetCatalogue,
        suspicions: SuspicionTable,
        paces: PaceTable,
        ledger: LoadLedger,
        is_large: Callable[[], bool],
        list_throttled: Callable[[], frozenset[str]],
        list_backed_off: Callable[[], frozenset[str]],
        read_clock: Callable[[], float],
        count_known_instances: Callable[[], int] = lambda: 1,
        find_overflow: Callable[[str, EngineModel], OverflowPlan] = (
            lambda service, engine: OverflowPlan()
        ),
    ) -> None:
        #: Returns what share of the requests of a service overflow now.
        self._find_overflow = find_overflow
        self._is_large = is_large
        #: Returns how many instances are known of, whether they are reached or not.
        self._count_known_instances = count_known_instances
        self._started_at = read_clock()
        #: Returns the targets to which this instance may send no requests for now.
        self._list_throttled = list_throttled
        #: Returns those of them that want no requests of this instance.
        self._list_backed_off = list_backed_off
        self._catalogue = catalogue
        self._suspicions = suspicions
        self._paces = paces
        self._ledger = ledger
        self._read_clock = read_clock
        self._instance = instance
        #: Cached preferences by target. Never evicted: one entry per target ever seen.
        self._preferences: dict[str, float] = {}
        #: The capacity of each service, and until when it is reused.
        self._capacities: dict[str, tuple[float, KvCapacity]] = {}
        #: The targets of each service under its latest versions, the newest index last.
        self._targets_by_service: dict[str, list[_ServiceTargets]] = {}

    def choose(
        self,
        service: str,
        engine: EngineModel,
        wanted: PathRequest,
        *,
        may_use_reported: bool = False,
        ignores_limits: bool = False,
    ) -> tuple[Hop, ...] | None:
        """Return the best path now, `None` if none has capacity.

        With `may_use_reported`, it may pass through targets that only peers report as
        unreachable. With `ignores_limits`, it may begin at a target that is throttled.

        It passes through a target that wants no requests of this instance only if there
        is no other: a later hop receives them from the first, not from this instance.
        """
        now = self._read_clock()
        targets = self._find_targets(service, engine, now)
        searches = self._list_searches(service, engine, wanted)
        throttled = frozenset() if ignores_limits else self._list_throttled()
        backed_off = throttled & self._list_backed_off()
        path = None
        for avoided in (backed_off, frozenset()) if backed_off else (backed_off,):
            read = self._make_occupancy_reader(
                targets,
                now,
                may_use_reported=may_use_reported,
                throttled=throttled,
                avoided=avoided,
            )
            for search in searches:
                path = path or targets.index.choose_path(search, read=read)
        return path

    def estimate_duration_s(
        self,
        service: str,
        engine: EngineModel,
        wanted: PathRequest,
        path: Sequence[Hop],
    ) -> float | None:
        """Return the seconds that a request is likely to take on a path now.

        `None` if it is not known. Unlike in the choice of a path, loads are not scaled
        after the start: a load that is only assumed must not exclude a path.
        """
        now = self._read_clock()
        loads = self._ledger.sum_loads(now=now)

        def read(stage: Stage) -> Occupancy:
            load = loads.get(stage.target, _NO_LOAD)
            return Occupancy(
                kv_reserved=load.kv,
                running=load.running,
                first_running=load.first_running,
                pace=self._paces.find(stage.target, now=now),
            )

        index = self._find_targets(service, engine, now).index
        return index.estimate_duration_s(path, wanted, read=read)

    def _list_searches(
        self, service: str, engine: EngineModel, wanted: PathRequest
    ) -> list[PathRequest]:
        """Return the request under the terms that are in force, the preferred first.

        One that overflows and finds no capacity is sought a path like all others.
        """
        if not self._is_large():
            return [wanted]
        remote = HUB_WAIT_TERMS if wanted.has_waited else HUB_TERMS
        searches = [replace(wanted, remote=remote)]
        if wanted.overflow_draw is not None:
            plan = self._find_overflow(service, engine)
            if wanted.overflow_draw < plan.share:
                searches.insert(0, replace(wanted, remote=plan.terms))
        return searches

    def measure_capacity(self, service: str, engine: EngineModel) -> KvCapacity:
        """Return the KV cache of the usable targets of a service."""
        now = self._read_clock()
        reused_until, capacity = self._capacities.get(service, (float("-inf"), None))
        if capacity is None or now > reused_until:
            targets = self._find_targets(service, engine, now)
            read = self._make_usable_reader(targets, now)
            capacity = targets.index.measure_capacity(read=read)
            duration_s = max(
                CAPACITY_DURATION_S, len(targets.names) * CAPACITY_DURATION_S_PER_TARGET
            )
            self._capacities[service] = now + duration_s, capacity
        return capacity

    def measure_capacities(
        self, service: str, engine: EngineModel
    ) -> dict[str, KvCapacity]:
        """Return the KV cache of the usable targets of a service by data centre."""
        now = self._read_clock()
        targets = self._find_targets(service, engine, now)
        read = self._make_usable_reader(targets, now)
        return targets.index.measure_capacities(read=read)

    def _make_usable_reader(
        self, targets: _ServiceTargets, now: float
    ) -> ReadOccupancy:
        """Return a function that reads the load of usable targets, throttled or not."""
        return self._make_occupancy_reader(
            targets,
            now,
            may_use_reported=False,
            throttled=frozenset(),
            avoided=frozenset(),
        )

    def find_load_scale(self, *, now: float) -> float:
        """Return by which factor the load of a target may exceed the known one.

        Instances that start at the same moment send to the same targets until they
        learn of each other, so each estimates the others' load by its own.
        """
        if now - self._started_at >= SCALED_DURATION_S:
            return 1.0
        return self._ledger.find_scale(self._count_known_instances(), now=now)

    def list_first_targets(self, service: str, engine: EngineModel) -> list[str]:
        """Return the targets at which a path may begin, regardless of capacity."""
        now = self._read_clock()
        targets = self._find_targets(service, engine, now)
        excluded = self._list_excluded(targets, now)
        return [
            record.name
            for record in self._catalogue.list_targets(now=now)
            if record.name in targets.names
            and record.name not in excluded
            and record.layers.start == 0
        ]

    def _find_targets(
        self, service: str, engine: EngineModel, now: float
    ) -> _ServiceTargets:
        """Return the targets of a service, rebuilt only when the catalogue changes."""
        # Drops rows that have expired while the store is unreachable; this may advance
        # the revision.
        records = self._catalogue.list_targets(now=now)
        revision = self._catalogue.revision
        indexed = self._targets_by_service.get(service, [])
        if indexed and indexed[-1].revision != revision:
            indexed = []
        for targets in indexed:
            if targets.engine is engine:
                return targets
        for targets in indexed:
            if targets.engine == engine:
                return targets
        targets = self._index_targets(service, engine, records, revision)
        self._targets_by_service[service] = [*indexed, targets][-_MAX_INDEXED_VERSIONS:]
        return targets

    def _index_targets(
        self,
        service: str,
        engine: EngineModel,
        records: list[TargetRecord],
        revision: int,
    ) -> _ServiceTargets:
        own = [
            record
            for record in records
            if record.service == service
            and record.layers is not None
            and find_engine_misfit(record, engine) is None
        ]
        stages = [self._make_stage(record, engine) for record in own]
        return _ServiceTargets(
            revision=revision,
            engine=engine,
            index=StageIndex(engine=engine, stages=stages),
            names=tuple(record.name for record in own),
            leaving=frozenset(record.name for record in own if record.is_leaving),
        )

    def _make_stage(self, record: TargetRecord, engine: EngineModel) -> Stage:
        kind = engine.kinds[record.kind]
        return Stage(
            target=record.name,
            address=record.address,
            data_centre=record.data_centre,
            kind=kind,
            layers=record.layers,
            kv_capacity=float(compute_kv_capacity(engine, kind, len(record.layers))),
            preference=self._find_preference(record.name),
        )

    def _find_preference(self, target: str) -> float:
        if target not in self._preferences:
            self._preferences[target] = compute_preference(self._instance, target)
        return self._preferences[target]

    def _make_occupancy_reader(
        self,
        targets: _ServiceTargets,
        now: float,
        *,
        may_use_reported: bool,
        throttled: frozenset[str],
        avoided: frozenset[str],
    ) -> ReadOccupancy:
        """Return a function that reads a target's load, `None` if it is excluded.

        A target that is throttled has no slot for a path to begin at.
        """
        excluded = avoided | self._list_excluded(
            targets, now, may_use_reported=may_use_reported
        )
        loads, paces = self._ledger.sum_loads(now=now), self._paces
        scale = self.find_load_scale(now=now)

        def read(stage: Stage) -> Occupancy | None:
            if stage.target in excluded:
                return None
            load = loads.get(stage.target, _NO_LOAD)
            return Occupancy(
                kv_reserved=scale_kv(load.kv, scale, capacity=stage.kv_capacity),
                running=int(load.running * scale),
                # The release of what runs there does not end a limit.
                first_running=load.first_running
                + (targets.engine.slots if stage.target in throttled else 0),
                pace=paces.find(stage.target, now=now),
            )

        return read

    def _list_excluded(
        self, targets: _ServiceTargets, now: float, *, may_use_reported: bool = False
    ) -> frozenset[str]:
        """Return the targets that get no new requests."""
        excluded = targets.leaving | self._suspicions.list_suspects(
            targets.names, now=now, includes_reported=not may_use_reported
        )
        if self._catalogue.may_miss_leaving(now=now):
            refusals = self._suspicions.refusals
            excluded |= {n for n in targets.names if refusals.is_refusing(n, now=now)}
        return excluded

    def has_capacity(self, target: str, engine: EngineModel) -> bool:
        """Return whether a target clearly has capacity left, by the ledger."""
        record = self._catalogue.find_target(target)
        if record is None or record.layers is None or record.kind not in engine.kinds:
            return False
        kind = engine.kinds[record.kind]
        capacity = compute_kv_capacity(engine, kind, len(record.layers))
        load = self._ledger.find_load(target, now=self._read_clock())
        return load.kv <= capacity * LOW_OCCUPANCY_SHARE

    def describe_exclusions(self, service: str, engine: EngineModel) -> PathExclusions:
        """Return which layers no usable target holds, and why targets are excluded."""
        now = self._read_clock()
        targets = self._find_targets(service, engine, now)
        excluded = self._list_excluded(targets, now)
        reasons = Counter(
            "leaving"
            if name in targets.leaving
            else self._suspicions.find_reason(name, now=now)
            for name in excluded
        )
        usable = [
            record.layers
            for record in self._catalogue.list_targets(now=now)
            if record.name in targets.names and record.name not in excluded
        ]
        return PathExclusions(
            missing=tuple(find_gaps(engine.layers, usable)), reasons=reasons
        )

    def has_whole_model(self, service: str, engine: EngineModel) -> bool:
        """Return whether there is a path, regardless of capacity."""
        now = self._read_clock()
        targets = self._find_targets(service, engine, now)
        excluded = self._list_excluded(targets, now)
        wanted = PathRequest(prompt=0, answer=0, data_centre="")

        def read(stage: Stage) -> Occupancy | None:
            return None if stage.target in excluded else _IDLE

        return targets.index.choose_path(wanted, read=read) is not None
