"""Monitors the followed targets: keeps views of their load and caches up to date."""

import asyncio

from fulmarward._instance import Instance
from fulmarward.health import note_report, read_drains, update_leaving_view
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
    apply_cache_events,
    charge,
    draw_interval,
    forget_undeclared,
    reserve,
    select_followed,
)
from fulmarward_core.membership import MemberState
from fulmarward_core.routing import TargetView

#: Seconds between checks whether the live instances have changed, which changes the
#: targets to follow. With 690 instances replaced a day, each selection among 4,100
#: targets takes 24 ms of one core; a check without a change costs nothing.
SELECT_INTERVAL_S = 5.0

#: Bytes of a request to an engine plus the status line of the response, as measured by
#: `scripts/bench health`.
REQUEST_BYTES = 80


def _list_instances(instance: Instance) -> dict[str, str]:
    """Return the data centre of each live instance, by name, including this one."""
    found = {
        member.name: member.data_centre
        for member in instance.members.members.values()
        if member.state is MemberState.ALIVE
    }
    return found | {instance.member.name: instance.settings.data_centre}


def update_views(instance: Instance) -> None:
    """Update the set of views for the current declaration and live instances.

    Views of targets that stay are kept with their state, as are views of targets that
    run requests of this instance. All plain services have a view, since they are not
    polled.
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
    for name in instance.report_requests.keys() - instance.views.keys():
        del instance.report_requests[name]
    for name in kept:
        if name not in instance.views:
            instance.views[name] = TargetView(name=name, target=targets[name])
            update_leaving_view(instance, name)


def find_view(instance: Instance, name: str) -> TargetView | None:
    """Return the view of a declared target, or a temporary one if not followed."""
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
    apply_cache_events(view, answer.events, now=instance.read_clock())


def _is_followed(instance: Instance, view: TargetView) -> bool:
    return instance.views.get(view.name) is view


async def _watch_load(instance: Instance, view: TargetView, pacer: Pacer) -> None:
    report_requested = instance.report_requests.setdefault(view.name, asyncio.Event())
    while _is_followed(instance, view):
        report_requested.clear()
        await _read_report(instance, view, pacer)
        is_used = view.in_flight > 0
        seconds = draw_interval(instance.generator, is_used=is_used)
        try:
            async with asyncio.timeout(seconds):
                await report_requested.wait()
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
    """Monitor one engine until its view is replaced or removed."""
    async with asyncio.TaskGroup() as group:
        group.create_task(_watch_load(instance, view, reports))
        group.create_task(_watch_cache(instance, view, events))


async def _wait_for_change(
    instance: Instance, changed: asyncio.Event, instances: dict[str, str]
) -> None:
    """Wait until the declaration or the set of live instances changes."""
    while _list_instances(instance) == instances:
        try:
            async with asyncio.timeout(SELECT_INTERVAL_S):
                await changed.wait()
            return
        except TimeoutError:
            continue


async def follow_targets(instance: Instance) -> None:
    """Run one monitoring task for each followed engine of the current declaration.

    Drains are read before the first views are created, so that an instance that
    started after a drain never sends work to the drained target. When the platform is
    unavailable, peers report the drains.
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
    """Start missing tasks and cancel those whose view was replaced or removed."""
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
