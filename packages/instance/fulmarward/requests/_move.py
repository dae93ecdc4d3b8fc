"""Migration of a running stage: moves its KV cache to another target."""

from fulmarward._instance import Instance
from fulmarward.targets import (
    StepRefused,
    StreamBroken,
    export_cache,
    import_cache,
    read_steps,
)
from fulmarward_core.streams import Stage


def find_address(instance: Instance, stage: Stage) -> str | None:
    """Return the address of a stage's target, or `None` if it is not declared."""
    target = instance.snapshot.declaration.targets.get(stage.target)
    return target.address if target else None


async def move_stage(
    instance: Instance, stage: Stage, target: str, *, request: str, attempt: int
) -> Stage | StreamBroken | None:
    """Move a stage's cache between two tokens; return the stage at its new target.

    Returns `None` if the cache stays where it was, and `StreamBroken` if it is lost,
    which ends the attempt. No layer can run at both targets: the old one refuses
    steps once the cache was exported, and steps are sent to only one of them.
    """
    moved = Stage(target=target, layers=stage.layers)
    source = find_address(instance, stage)
    if source is None or find_address(instance, moved) is None:
        return None
    cache = await export_cache(
        instance.session, source, request=request, attempt=attempt, stage=stage
    )
    if isinstance(cache, StepRefused):
        return None
    if isinstance(cache, StreamBroken):
        return cache
    for place, outcome in ((moved, moved), (stage, None)):
        if await _import_cache_at(instance, place, cache, request, attempt):
            return outcome
    return StreamBroken(detail="the cache was lost while it moved")


async def _import_cache_at(
    instance: Instance, stage: Stage, cache: bytes, request: str, attempt: int
) -> bool:
    """Import a cache; return whether the target has it, even if the reply was lost."""
    address = find_address(instance, stage)
    cache_key = {"request": request, "attempt": attempt, "stage": stage}
    outcome = await import_cache(instance.session, address, cache, **cache_key)
    if outcome is None:
        return True
    found = await read_steps(instance.session, address, after=0, term=0, **cache_key)
    return isinstance(found, tuple)
