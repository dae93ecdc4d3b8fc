"""Merges the sources that report whether targets are leaving."""

from collections.abc import Iterable
from dataclasses import replace

from fulmarward._instance import Instance
from fulmarward.observability import log_event
from fulmarward_core.health import (
    LeavingRecord,
    LeavingSource,
    create_record,
    is_leaving,
    list_sources,
    merge_record,
    record_load_report,
    record_observation,
)

#: Refusal details of an engine that has not loaded the requested model or adapter.
_NOT_HELD = ("not_loaded", "adapter_not_loaded")


def update_leaving_view(instance: Instance, name: str) -> None:
    """Copy a target's leaving state from the table to its view, and log a change."""
    view = instance.views.get(name)
    if view is None:
        return
    leaving = is_leaving(instance.leaving, name)
    if view.leaving == leaving:
        return
    view.leaving = leaving
    sources = [source.name.lower() for source in list_sources(instance.leaving, name)]
    log_event("target_leaving_changed", target=name, leaving=leaving, sources=sources)


def _request_report(instance: Instance, name: str) -> None:
    """Mark a target that placement changed as loading, and read its report at once.

    By its old report a chain would mix versions, and failures of the new version would
    count against the old one.
    """
    view = instance.views.get(name)
    if view is not None and view.held is not None:
        view.held = replace(view.held, is_loading=True)
    if name in instance.report_requests:
        instance.report_requests[name].set()


def _apply_update(instance: Instance, name: str, record: LeavingRecord | None) -> None:
    update_leaving_view(instance, name)
    is_placed = record is not None and record.source is LeavingSource.PLACEMENT
    if is_placed and not record.is_leaving:
        _request_report(instance, name)
    if record is not None:
        instance.unsent_records.append(record)
        instance.records_pending.set()


def note_list(instance: Instance, name: str, *, leaving: bool) -> None:
    """Record a target's state in the platform's list.

    Undeclared targets are ignored, except before the first declaration.
    """
    is_known = name in instance.snapshot.declaration.targets
    if instance.snapshot.head.epoch > 0 and not is_known:
        return
    key = (name, LeavingSource.PLATFORM_LIST)
    now = instance.read_clock()
    record = record_observation(instance.leaving, key, leaving=leaving, now=now)
    _apply_update(instance, name, record)


def note_report(instance: Instance, name: str, *, leaving: bool) -> None:
    """Record a target's state in its load report."""
    now = instance.read_clock()
    record = record_load_report(instance.leaving, name, leaving=leaving, now=now)
    _apply_update(instance, name, record)


def note_placement(instance: Instance, name: str, *, leaving: bool) -> None:
    """Start or end placement's drain of a target, on all instances."""
    key = (name, LeavingSource.PLACEMENT)
    now = instance.read_clock()
    record = create_record(instance.leaving, key, leaving=leaving, now=now)
    _apply_update(instance, name, record)


def note_refusal(instance: Instance, name: str, detail: str) -> None:
    """Record why a target refused a request before executing it.

    A target that says it is leaving gets no more requests, and one that has not loaded
    the requested model gets none until its next report: either refusal is newer than
    any report at hand.
    """
    view = instance.views.get(name)
    if view is not None and detail in _NOT_HELD and view.held is not None:
        view.held = replace(view.held, is_loading=True)
    if detail == "leaving":
        key = (name, LeavingSource.TARGET)
        now = instance.read_clock()
        record = record_observation(instance.leaving, key, leaving=True, now=now)
        _apply_update(instance, name, record)


def merge_records(instance: Instance, records: Iterable[LeavingRecord]) -> None:
    """Merge records of a peer or the platform's table, and push the new ones."""
    now = instance.read_clock()
    declared = instance.snapshot.declaration.targets
    for record in records:
        if record.target in declared and merge_record(
            instance.leaving, record, now=now
        ):
            _apply_update(instance, record.target, record)
