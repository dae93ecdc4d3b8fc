"""The targets of an engine service as possible parts of a path."""

from collections.abc import Callable

from fulmarward_core.catalogue import TargetCatalogue
from fulmarward_core.fleet import EngineModel, TargetRecord, count_kv_capacity
from fulmarward_core.loads import LoadLedger, TargetLoad
from fulmarward_core.paces import PaceTable
from fulmarward_core.paths import (
    Hop,
    PathRequest,
    Stage,
    choose_path,
    compute_preference,
)
from fulmarward_core.suspicion import ROOM_PART, SuspicionTable


class PathFinder:
    """Chooses paths from what is known of targets, their loads and suspicions."""

    def __init__(
        self,
        *,
        instance: str,
        catalogue: TargetCatalogue,
        suspicions: SuspicionTable,
        paces: PaceTable,
        ledger: LoadLedger,
        read_clock: Callable[[], float],
    ) -> None:
        self._catalogue = catalogue
        self._suspicions = suspicions
        self._paces = paces
        self._ledger = ledger
        self._read_clock = read_clock
        self._instance = instance
        #: Preferences by target; as many as there were targets since the start.
        self._preferences: dict[str, float] = {}

    def list_stages(self, service: str, engine: EngineModel) -> list[Stage]:
        """Return all targets of a service that hold layers."""
        now = self._read_clock()
        records = [
            record
            for record in self._catalogue.list_targets(now=now)
            if record.service == service
            and record.layers is not None
            and record.kind in engine.kinds
        ]
        names = [record.name for record in records]
        suspects = self._suspicions.list_suspects(names, now=now)
        if self._catalogue.may_lack_leaving(now=now):
            refusals = self._suspicions.refusals
            refusing = {name for name in names if refusals.is_refusing(name, now=now)}
            suspects |= refusing
        loads = self._ledger.sum_loads(now=now)
        return [
            _make_stage(
                record,
                engine,
                loads.get(record.name, TargetLoad()),
                pace=self._paces.find(record.name, now=now),
                preference=self._find_preference(record.name),
                is_usable=not record.is_leaving and record.name not in suspects,
            )
            for record in records
        ]

    def _find_preference(self, target: str) -> float:
        if target not in self._preferences:
            self._preferences[target] = compute_preference(self._instance, target)
        return self._preferences[target]

    def choose(
        self, service: str, engine: EngineModel, wanted: PathRequest
    ) -> tuple[Hop, ...] | None:
        """Return the best path now, `None` when there is none with room."""
        return choose_path(engine, self.list_stages(service, engine), wanted)

    def has_room(self, target: str, engine: EngineModel) -> bool:
        """Return whether a target has room beyond doubt, by what is reserved there."""
        record = self._catalogue.find_target(target)
        if record is None or record.layers is None or record.kind not in engine.kinds:
            return False
        kind = engine.kinds[record.kind]
        capacity = count_kv_capacity(engine, kind, len(record.layers))
        load = self._ledger.find_load(target, now=self._read_clock())
        return load.kv <= capacity * ROOM_PART

    def has_whole_model(self, service: str, engine: EngineModel) -> bool:
        """Return whether there is a path at all, room aside."""
        wanted = PathRequest(prompt=0, answer=0, data_centre="")
        return self.choose(service, engine, wanted) is not None


def _make_stage(
    record: TargetRecord,
    engine: EngineModel,
    load: TargetLoad,
    *,
    pace: float,
    preference: float,
    is_usable: bool,
) -> Stage:
    kind = engine.kinds[record.kind]
    return Stage(
        target=record.name,
        address=record.address,
        data_centre=record.data_centre,
        kind=kind,
        layers=record.layers,
        kv_capacity=float(count_kv_capacity(engine, kind, len(record.layers))),
        kv_reserved=load.kv,
        running=load.running,
        first_running=load.first_running,
        pace=pace,
        preference=preference,
        is_usable=is_usable,
    )
