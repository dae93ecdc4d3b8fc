"""The task for each followed target that keeps its view fresh."""

import asyncio

from fulmarward._instance import Instance
from fulmarward.health import note_report, read_drains, show_leaving
from fulmarward.observability import log_event
from fulmarward.targets._engine import StreamBroken
from fulmarward.targets._reports import read_cache_events, read_load
from fulmarward_core.declaration import TargetKind
from fulmarward_core.health import (
    EVENT_BYTES,
    EVENT_BYTES_PER_S,
    REPORT_BYTES,
    REPORT_BYTES_PER_S,
    Pacer,
    charge,
    draw_interval,
    forget_undeclared,
    reserve,
    select_followed,
    take_cache_events,
)
from fulmarward_core.membership import MemberState
from fulmarward_core.routing import TargetView

#: Seconds between two looks whether other targets have to be followed, because
#: instances came or went. Load: 690 replaced a day; harm: 24 ms of one core for each
#: choice among 4,100 targets; reason: a look costs nothing when nobody came or went.
CHOOSE_EVERY_S = 5.0

#: Bytes of one question to an engine and of its answer's first line, as
#: `scripts/bench health` measures.
REQUEST_BYTES = 80


def _list_instances(instance: Instance) -> dict[str, str]:
    """Return the data centre of each instance that can follow targets."""
    found = {
        member.name: member.data_centre
        for member in instance.members.members.values()
        if member.state is MemberState.ALIVE
    }
    return found | {instance.member.name: instance.settings.data_centre}


def update_views(instance: Instance) -> None:
    """Make the views fit the declaration and the live instances.

    What is known of a target that stays is kept, and so is the view of one that has
    requests of this instance. Plain services are all kept: nothing is polled of them.
    """
    declaration = instance.snapshot.declaration
    targets = declaration.targets
    forget_undeclared(instance.leaving, targets)
    followed = select_followed(
        targets,
        own_name=instance.member.name,
        own_data_centre=instance.settings.data_centre,
        instances=_list_instances(instance),
        data_centres=declaration.data_centres,
    )
    services = {
        name for name, item in targets.items() if item.kind is TargetKind.SERVICE
    }
    kept = followed | services
    for name, view in list(instance.views.items()):
        is_idle = view.in_flight == 0 and name not in kept
        if is_idle or view.target != targets.get(name):
            del instance.views[name]
    for name in instance.report_hurries.keys() - instance.views.keys():
        del instance.report_hurries[name]
    for name in kept:
        if name not in instance.views:
            instance.views[name] = TargetView(name=name, target=targets[name])
            show_leaving(instance, name)


def find_view(instance: Instance, name: str) -> TargetView | None:
    """Return the view of a declared target, also of one that is not followed."""
    view = instance.views.get(name)
    target = instance.snapshot.declaration.targets.get(name)
    if view is None and target is not None:
        return TargetView(name=name, target=target)
    return view


async def _read_report(instance: Instance, view: TargetView, pacer: Pacer) -> None:
    await asyncio.sleep(reserve(pacer, REPORT_BYTES, now=instance.read_clock()))
    now = instance.read_clock()
    report = await read_load(instance.session, view.target.address, now=now)
    if isinstance(report, StreamBroken):
        return
    charge(pacer, report.size + REQUEST_BYTES - REPORT_BYTES)
    view.report = report.load
    view.held = report.held
    note_report(instance, view.name, leaving=report.is_leaving)


async def _read_events(instance: Instance, view: TargetView, pacer: Pacer) -> None:
    await asyncio.sleep(reserve(pacer, EVENT_BYTES, now=instance.read_clock()))
    after = max(view.cache_sequence - 1, 0)
    answer = await read_cache_events(instance.session, view.target.address, after=after)
    if isinstance(answer, StreamBroken):
        return
    charge(pacer, answer.size + REQUEST_BYTES - EVENT_BYTES)
    take_cache_events(view, answer.events, now=instance.read_clock())


def _is_followed(instance: Instance, view: TargetView) -> bool:
    return instance.views.get(view.name) is view


async def _watch_load(instance: Instance, view: TargetView, pacer: Pacer) -> None:
    hurry = instance.report_hurries.setdefault(view.name, asyncio.Event())
    while _is_followed(instance, view):
        hurry.clear()
        await _read_report(instance, view, pacer)
        is_used = view.in_flight > 0
        seconds = draw_interval(instance.generator, is_used=is_used)
        try:
            async with asyncio.timeout(seconds):
                await hurry.wait()
        except TimeoutError:
            continue


async def _watch_cache(instance: Instance, view: TargetView, pacer: Pacer) -> None:
    while _is_followed(instance, view):
        await _read_events(instance, view, pacer)
        is_used = view.in_flight > 0
        await asyncio.sleep(draw_interval(instance.generator, is_used=is_used))


async def _watch_target(
    instance: Instance, view: TargetView, reports: Pacer, events: Pacer
) -> None:
    """Watch one engine until its view is replaced or dropped."""
    async with asyncio.TaskGroup() as group:
        group.create_task(_watch_load(instance, view, reports))
        group.create_task(_watch_cache(instance, view, events))


async def _wait_for_change(
    instance: Instance, changed: asyncio.Event, instances: dict[str, str]
) -> None:
    """Wait until the declaration changes or an instance comes or goes."""
    while _list_instances(instance) == instances:
        try:
            async with asyncio.timeout(CHOOSE_EVERY_S):
                await changed.wait()
            return
        except TimeoutError:
            continue


async def follow_targets(instance: Instance) -> None:
    """Keep one watching task for each followed engine of the declaration in force.

    The first views are made after the drains were read, so that an instance which
    came after a drain never sends work to the drained target; when the platform is
    out, peers tell of drains.
    """
    reports = Pacer(bytes_per_s=REPORT_BYTES_PER_S)
    events = Pacer(bytes_per_s=EVENT_BYTES_PER_S)
    tasks: dict[str, asyncio.Task] = {}
    while instance.snapshot.head.epoch == 0:
        await instance.snapshot_changed.wait()
    await read_drains(instance)
    try:
        while True:
            changed, instances = instance.snapshot_changed, _list_instances(instance)
            update_views(instance)
            _start_watching(instance, tasks, reports, events)
            instance.targets_known.set()
            log_event("targets_followed", followed=len(tasks))
            await _wait_for_change(instance, changed, instances)
    finally:
        for task in tasks.values():
            task.cancel()


def _start_watching(
    instance: Instance, tasks: dict[str, asyncio.Task], reports: Pacer, events: Pacer
) -> None:
    """Start the missing tasks and end those whose view is gone."""
    watched = {
        f"{name}@{id(view)}": view
        for name, view in instance.views.items()
        if view.target.kind is TargetKind.ENGINE
    }
    for key in tasks.keys() - watched.keys():
        tasks.pop(key).cancel()
    for key, view in watched.items():
        if key not in tasks:
            watching = _watch_target(instance, view, reports, events)
            tasks[key] = asyncio.create_task(watching)
