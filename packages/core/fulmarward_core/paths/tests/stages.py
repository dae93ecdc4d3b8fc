"""Test helpers: stages with a given load, and the choice of a path among them."""

from dataclasses import dataclass

from fulmarward_core.paths import Occupancy, Stage, StageIndex


@dataclass(frozen=True, kw_only=True)
class LoadedStage(Stage):
    """A stage with its load, and whether it may get new work."""

    kv_reserved: float = 0.0
    running: int = 0
    first_running: int = 0
    pace: float = 1.0
    preference: float = 1.0
    is_usable: bool = True


def read_stage(stage):
    """Return the load of a stage, or `None` if it must not be used."""
    if not stage.is_usable:
        return None
    return Occupancy(
        kv_reserved=stage.kv_reserved,
        running=stage.running,
        first_running=stage.first_running,
        pace=stage.pace,
    )


def choose_path(engine, stages, request):
    """Return the path chosen among loaded stages."""
    index = StageIndex(engine=engine, stages=stages)
    return index.choose_path(request, read=read_stage)
