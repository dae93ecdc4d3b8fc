"""Taking in what the sources say of leaving targets."""

from collections.abc import Iterable
from dataclasses import replace

from fulmarward._instance import Instance
from fulmarward.observability import log_event
from fulmarward_core.health import (
    LeavingRecord,
    LeavingSource,
    announce,
    is_leaving,
    list_sources,
    merge_record,
    observe,
    observe_report,
)

#: Refusals by which an engine says that it does not hold what was asked for.
_NOT_HELD = ("not_loaded", "adapter_not_loaded")


def show_leaving(instance: Instance, name: str) -> None:
    """Make a target's view say what the leaving table says, with a log line."""
    view = instance.views.get(name)
    if view is None:
        return
    leaving = is_leaving(instance.leaving, name)
    if view.leaving == leaving:
        return
    view.leaving = leaving
    sources = [source.name.lower() for source in list_sources(instance.leaving, name)]
    log_event("target_leaving", target=name, leaving=leaving, sources=sources)


def _hurry_report(instance: Instance, name: str) -> None:
    """Use a target that placement changed only by what it says after the change.

    Guards against what was held before: a chain would mix versions, and failures of
    the new version would count against the old one.
    """
    view = instance.views.get(name)
    if view is not None and view.held is not None:
        view.held = replace(view.held, is_loading=True)
    if name in instance.report_hurries:
        instance.report_hurries[name].set()


def _spread(instance: Instance, name: str, news: LeavingRecord | None) -> None:
    show_leaving(instance, name)
    is_placed = news is not None and news.source is LeavingSource.PLACEMENT
    if is_placed and not news.is_leaving:
        _hurry_report(instance, name)
    if news is not None:
        instance.unsent_news.append(news)
        instance.news_came.set()


def note_list(instance: Instance, name: str, *, leaving: bool) -> None:
    """Take in the platform's list; before the first declaration all of it counts."""
    is_known = name in instance.snapshot.declaration.targets
    if instance.snapshot.head.epoch > 0 and not is_known:
        return
    key = (name, LeavingSource.PLATFORM_LIST)
    now = instance.read_clock()
    news = observe(instance.leaving, key, leaving=leaving, now=now)
    _spread(instance, name, news)


def note_report(instance: Instance, name: str, *, leaving: bool) -> None:
    """Take in the word of a load report."""
    now = instance.read_clock()
    news = observe_report(instance.leaving, name, leaving=leaving, now=now)
    _spread(instance, name, news)


def note_placement(instance: Instance, name: str, *, leaving: bool) -> None:
    """Stop or open a target for placement, on all instances."""
    key = (name, LeavingSource.PLACEMENT)
    now = instance.read_clock()
    news = announce(instance.leaving, key, leaving=leaving, now=now)
    _spread(instance, name, news)


def note_refusal(instance: Instance, name: str, detail: str) -> None:
    """Take in why a target refused a request before it began.

    A target that says it leaves gets nothing more, and one that does not hold what
    was asked for gets nothing until its next report: both refusals are newer than any
    report can be.
    """
    view = instance.views.get(name)
    if view is not None and detail in _NOT_HELD and view.held is not None:
        view.held = replace(view.held, is_loading=True)
    if detail == "leaving":
        key = (name, LeavingSource.TARGET)
        now = instance.read_clock()
        news = observe(instance.leaving, key, leaving=True, now=now)
        _spread(instance, name, news)


def hear_records(instance: Instance, records: Iterable[LeavingRecord]) -> None:
    """Take in records of a peer or of the platform's table, and pass on the news."""
    now = instance.read_clock()
    declared = instance.snapshot.declaration.targets
    for record in records:
        if record.target in declared and merge_record(
            instance.leaving, record, now=now
        ):
            _spread(instance, record.target, record)
