"""The task for each followed target that keeps its view fresh."""

import asyncio

from fulmarward._instance import Instance
from fulmarward.targets._engine import StreamBroken, read_load
from fulmarward_core.declaration import Target, TargetKind
from fulmarward_core.routing import TargetView

#: Seconds between two load reports of a target. A target's report carries about 250
#: bytes; the tasks of one instance stay inside its 4 KB/s for up to 16 targets a
#: second.
REPORT_EVERY_S = 1.0


def update_views(instance: Instance) -> None:
    """Make the views fit the declaration in force, keeping what is known."""
    targets = instance.snapshot.declaration.targets
    for name in list(instance.views):
        if instance.views[name].target != targets.get(name):
            del instance.views[name]
    for name, target in targets.items():
        if name not in instance.views:
            instance.views[name] = TargetView(name=name, target=target)


async def _watch_target(instance: Instance, name: str, target: Target) -> None:
    while True:
        view = instance.views.get(name)
        if view is None or view.target != target:
            return
        result = await read_load(
            instance.session, target.address, now=instance.read_clock()
        )
        if not isinstance(result, StreamBroken):
            view.report, view.leaving = result
        await asyncio.sleep(REPORT_EVERY_S)


async def follow_targets(instance: Instance) -> None:
    """Keep one watching task for each engine of the declaration in force."""
    tasks: dict[tuple[str, str], asyncio.Task] = {}
    try:
        while True:
            changed = instance.snapshot_changed
            update_views(instance)
            for name, view in instance.views.items():
                if view.target.kind is TargetKind.SERVICE:
                    continue
                key = (name, view.target.address)
                if key not in tasks or tasks[key].done():
                    tasks[key] = asyncio.create_task(
                        _watch_target(instance, name, view.target)
                    )
            await changed.wait()
    finally:
        for task in tasks.values():
            task.cancel()
