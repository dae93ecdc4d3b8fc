"""Decisions about the health of targets: who leaves, whom to follow, how often."""

import random
from collections.abc import Iterable, Mapping, Sequence

import xxhash

from fulmarward_core.declaration import DataCentre, Target, TargetKind
from fulmarward_core.health._types import (
    LeavingKey,
    LeavingRecord,
    LeavingSource,
    LeavingTable,
    Observation,
    Pacer,
)

#: How long an instance has to see a target open itself, without a break, before it
#: contradicts a peer's record that the target leaves. Load: reports and lists that lag
#: by some seconds; harm: work for a target that is going; reason: longer than any lag,
#: short enough that a target which came back is used again soon.
CONTRADICT_AFTER_S = 30.0

#: How long a target's refusal outlasts reports that it is open. Harm: a report as old
#: as its lag reopens a target that has just refused; reason: as CONTRADICT_AFTER_S.
REFUSAL_HOLDS_S = 10.0

#: Instances that follow each target of their data centre. Load: a target whose one
#: follower dies; harm: it idles, and nobody hears that it leaves; reason: four in
#: rendezvous order stay the same when others come and go.
FOLLOWERS = 4

#: Targets of each pool and range of layers that an instance follows at least.
#: Harm: a choice of one is no choice; reason: draws among four avoid a loaded one, and
#: the targets that chose the instance come besides.
NEAR_PER_RANGE = 4

#: Targets of each pool and range followed in other data centres. Load: the loss of a
#: data centre; harm: nowhere to shift to before new reports came in; reason: a few are
#: known beforehand.
FAR_PER_RANGE = 2

#: Most targets that one instance follows. Load: 4,100 targets; harm: reports older
#: than the load they tell of, at the bytes a second an instance may use; reason: 128
#: reports of REPORT_BYTES at REPORT_BYTES_PER_S come round in 45 s.
MOST_FOLLOWED = 128

#: Targets up to which an instance follows all of them: today's deployments.
FOLLOW_ALL_UP_TO = 64

#: Bytes a second for load reports, and for cache events. Load: 4 KB/s for all control
#: of an instance; harm: the links of small instances; reason: the rest is left to
#: heartbeats, configuration and summaries.
REPORT_BYTES_PER_S = 1_200.0
EVENT_BYTES_PER_S = 400.0

#: Bytes of one load report, and of an empty list of cache events, with the question
#: and all headers, as `scripts/bench health` measures.
REPORT_BYTES = 420
EVENT_BYTES = 260

#: Seconds between two reports of one target when bytes allow.
REPORT_EVERY_S = 1.0

#: The same for a target on which this instance has no request. Harm: bytes for targets
#: out of use make the reports of those in use old; reason: others report on them too.
IDLE_REPORT_EVERY_S = 3.0

#: Part of an interval by which reads are moved at random, so that instances which
#: started together do not ask a target together.
JITTER = 0.2


def is_leaving(table: LeavingTable, target: str) -> bool:
    """Return whether any source says that the target is leaving."""
    return bool(list_sources(table, target))


def list_sources(table: LeavingTable, target: str) -> tuple[LeavingSource, ...]:
    """Return who says that a target is leaving, from here or by a peer's news.

    A source's word stands until the same source takes it back: a load report that
    says nothing of leaving does not reopen what an operator drained.
    """
    return tuple(
        source
        for source in LeavingSource
        if _says_so(table.records.get((target, source)))
        or _says_so(table.observations.get((target, source)))
    )


def _says_so(word: LeavingRecord | Observation | None) -> bool:
    return word is not None and word.is_leaving


def observe(
    table: LeavingTable, key: LeavingKey, *, leaving: bool, now: float
) -> LeavingRecord | None:
    """Take in what this instance saw itself; return the record peers shall hear.

    Guards against a storm between instances whose lagging sources differ: only a
    change in what one instance sees, or a contradiction that lasts, is news. A record
    that everyone who made it has forgotten is so taken back by whoever sees the target
    open for CONTRADICT_AFTER_S.
    """
    seen = table.observations.get(key)
    is_first = seen is None
    has_changed = seen is not None and seen.is_leaving != leaving
    if is_first or has_changed:
        table.observations[key] = Observation(is_leaving=leaving, since=now)
    record = table.records.get(key)
    if _says_so(record) == leaving:
        return None
    is_news = has_changed or (leaving and is_first) or _has_lasted(table, key, now=now)
    if not is_news:
        return None
    return announce(table, key, leaving=leaving, now=now)


def _has_lasted(table: LeavingTable, key: LeavingKey, *, now: float) -> bool:
    """Return whether an open target has contradicted its record for long enough."""
    seen = table.observations[key]
    since = max(seen.since, table.heard_at.get(key, seen.since))
    return not seen.is_leaving and now - since >= CONTRADICT_AFTER_S


def observe_report(
    table: LeavingTable, target: str, *, leaving: bool, now: float
) -> LeavingRecord | None:
    """Take in a load report's word; it cannot take back a fresh refusal."""
    key = (target, LeavingSource.TARGET)
    seen = table.observations.get(key)
    is_fresh = seen is not None and now - seen.since < REFUSAL_HOLDS_S
    if not leaving and is_fresh and _says_so(seen):
        return None
    return observe(table, key, leaving=leaving, now=now)


def announce(
    table: LeavingTable, key: LeavingKey, *, leaving: bool, now: float
) -> LeavingRecord | None:
    """Make and return the record that says so; `None` when it stands already."""
    record = table.records.get(key)
    if _says_so(record) == leaving:
        return None
    target, source = key
    version = record.version + 1 if record else 1
    newer = LeavingRecord(
        target=target, source=source, is_leaving=leaving, version=version
    )
    merge_record(table, newer, now=now)
    return newer


def merge_record(table: LeavingTable, record: LeavingRecord, *, now: float) -> bool:
    """Take in a peer's record if it is newer; return whether it was.

    Of two records of one version the one that says leaving wins, so that records
    that arrive in any order end in the same table everywhere.
    """
    key = (record.target, record.source)
    known = table.records.get(key)
    if known is not None and _rank(record) <= _rank(known):
        return False
    table.records[key] = record
    table.heard_at[key] = now
    return True


def _rank(record: LeavingRecord) -> tuple[int, bool]:
    return (record.version, record.is_leaving)


def compute_leaving_digest(table: LeavingTable) -> int:
    """Return a number that is equal for equal records."""
    lines = sorted(
        f"{record.target}:{record.source}:{record.is_leaving}:{record.version}"
        for record in table.records.values()
    )
    return xxhash.xxh64_intdigest("\n".join(lines).encode())


def forget_undeclared(table: LeavingTable, declared: Iterable[str]) -> None:
    """Drop what is known of targets that are declared no more: memory is bounded."""
    kept = set(declared)
    table.records = {
        key: record for key, record in table.records.items() if key[0] in kept
    }
    table.observations = {
        key: seen for key, seen in table.observations.items() if key[0] in kept
    }
    table.heard_at = {key: at for key, at in table.heard_at.items() if key[0] in kept}


def select_followed(
    targets: Mapping[str, Target],
    *,
    own_name: str,
    own_data_centre: str,
    instances: Mapping[str, str],
    data_centres: Mapping[str, DataCentre],
) -> frozenset[str]:
    """Return the engines that this instance follows, a stable and bounded part.

    `instances` gives the data centre of each live instance. Each target chooses
    FOLLOWERS of its own data centre's instances by rendezvous hashing, so that none is
    left out and few change when an instance comes or goes; each instance adds some of
    each pool and range of layers, near ones first.
    """
    engines = {
        name: target
        for name, target in targets.items()
        if target.kind is TargetKind.ENGINE
    }
    if len(engines) <= FOLLOW_ALL_UP_TO:
        return frozenset(engines)
    ranked = sorted(
        engines,
        key=lambda name: (
            _measure_distance(engines[name].data_centre, own_data_centre, data_centres),
            -_hash_pair(own_name, name),
        ),
    )
    needed = _take_ranges(ranked, engines, own_data_centre)
    owed = _list_owed(ranked, engines, own_name, instances)
    wanted = list(dict.fromkeys([*needed, *owed]))
    return frozenset(wanted[:MOST_FOLLOWED])


def _hash_pair(instance: str, target: str) -> int:
    return xxhash.xxh64_intdigest(f"{instance}\0{target}".encode())


def _measure_distance(
    there: str, here: str, data_centres: Mapping[str, DataCentre]
) -> int:
    if there == here:
        return 0
    regions = [
        data_centres[name].region for name in (there, here) if name in data_centres
    ]
    return 1 if len(regions) == 2 and regions[0] == regions[1] else 2


def _take_ranges(
    ranked: Sequence[str], engines: Mapping[str, Target], own_data_centre: str
) -> list[str]:
    """Return the first targets of each pool and range, near ones and then far ones."""
    taken: dict[tuple[object, ...], int] = {}
    needed = []
    for name in ranked:
        target = engines[name]
        is_near = target.data_centre == own_data_centre
        key = (target.serves, target.layers, is_near)
        most = NEAR_PER_RANGE if is_near else FAR_PER_RANGE
        if taken.get(key, 0) < most:
            taken[key] = taken.get(key, 0) + 1
            needed.append(name)
    return needed


def _list_owed(
    ranked: Sequence[str],
    engines: Mapping[str, Target],
    own_name: str,
    instances: Mapping[str, str],
) -> list[str]:
    """Return the targets that chose this instance, those of one place first."""
    by_place: dict[str, list[str]] = {}
    for instance, data_centre in instances.items():
        by_place.setdefault(data_centre, []).append(instance)
    everyone = list(instances)
    owed = []
    for name in ranked:
        candidates = by_place.get(engines[name].data_centre, everyone)
        if own_name not in candidates:
            continue
        own = _hash_pair(own_name, name)
        better = sum(_hash_pair(other, name) > own for other in candidates)
        if better < FOLLOWERS:
            owed.append(name)
    return owed


def reserve(pacer: Pacer, size: int, *, now: float) -> float:
    """Take `size` bytes of the rate; return the seconds to wait before they flow."""
    begin = max(now, pacer.free_from)
    pacer.free_from = begin + size / pacer.bytes_per_s
    return begin - now


def charge(pacer: Pacer, size: int) -> None:
    """Take bytes that a read brought beyond what was reserved; negative gives back."""
    pacer.free_from += size / pacer.bytes_per_s


def draw_interval(generator: random.Random, *, is_used: bool) -> float:
    """Return the seconds until the next report of one target, as bytes allow."""
    seconds = REPORT_EVERY_S if is_used else IDLE_REPORT_EVERY_S
    return seconds * generator.uniform(1 - JITTER, 1 + JITTER)
