"""Moving a running stage: its KV cache goes from one target to another."""

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
    """Return the address of a stage's target, if it is still declared."""
    target = instance.snapshot.declaration.targets.get(stage.target)
    return target.address if target else None


async def move_stage(
    instance: Instance, stage: Stage, target: str, *, request: str, attempt: int
) -> Stage | StreamBroken | None:
    """Move a stage's cache between two tokens; returns where it is then.

    `None` means that it is where it was; `StreamBroken` that it is lost, so that the
    attempt has to end. Guards against a layer that runs at both targets: the old one
    refuses steps once it has given the cache away, and steps go to one of them only.
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
        if await _put_cache(instance, place, cache, request, attempt):
            return outcome
    return StreamBroken(detail="the cache was lost while it moved")


async def _put_cache(
    instance: Instance, stage: Stage, cache: bytes, request: str, attempt: int
) -> bool:
    """Import a cache; return whether the target has it, also when a reply is lost."""
    address = find_address(instance, stage)
    names = {"request": request, "attempt": attempt, "stage": stage}
    outcome = await import_cache(instance.session, address, cache, **names)
    if outcome is None:
        return True
    found = await read_steps(instance.session, address, after=0, term=0, **names)
    return isinstance(found, tuple)
