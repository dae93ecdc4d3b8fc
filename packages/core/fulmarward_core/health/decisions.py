"""Which targets are leaving, which ones an instance follows, and how often it asks."""

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

#: Seconds for which an instance must continuously observe a target as open before it
#: contradicts a peer's record that the target is leaving. Reports and lists lag by some
#: seconds: a shorter time would send work to a target that is leaving, a longer one
#: would delay the reuse of a target that came back.
CONTRADICT_AFTER_S = 30.0

#: Seconds for which a target's rejection overrides reports that it is open. Guards
#: against a delayed report that reopens a target which has just rejected a request. As
#: with CONTRADICT_AFTER_S, it exceeds any lag without delaying the reuse for long.
REFUSAL_VALIDITY_S = 10.0

#: Number of instances that follow each target of their data centre. With a single
#: follower, its failure would leave the target idle, and no instance would notice that
#: the target leaves. The first four in rendezvous order stay the same when other
#: instances come and go.
FOLLOWERS = 4

#: Minimum number of targets of each pool and range of layers that an instance follows
#: in its own data centre. A random choice among four avoids a loaded one. The targets
#: that rendezvous hashing assigns to the instance come in addition.
NEAR_PER_RANGE = 4

#: The same for other data centres. If a data centre fails, a few targets elsewhere are
#: known already, so that work can move there before new reports arrive.
FAR_PER_RANGE = 2

#: Maximum number of targets that one instance follows, of 4,100 in the design. With
#: more, reports would be outdated at the byte rate that an instance may use: 128
#: reports of REPORT_BYTES at REPORT_BYTES_PER_S take 45 s.
MAX_FOLLOWED = 128

#: Fleet size up to which an instance follows all targets; covers today's deployments.
FOLLOW_ALL_UP_TO = 64

#: Bytes a second for load reports, and for cache events. All control traffic of an
#: instance may take 4 KB/s, because of the links of small instances; the rest is left
#: to heartbeats, configuration and summaries.
REPORT_BYTES_PER_S = 1_200.0
EVENT_BYTES_PER_S = 400.0

#: Bytes of one load report, and of an empty list of cache events, including the request
#: and all headers, as measured by `scripts/bench health`.
REPORT_BYTES = 420
EVENT_BYTES = 260

#: Seconds between two reports of one target if the byte rate allows.
REPORT_INTERVAL_S = 1.0

#: The same for a target on which this instance has no request. Such reports delay those
#: of targets in use, and other instances follow the target too.
IDLE_REPORT_INTERVAL_S = 3.0

#: Random variation of an interval, as a share of it, so that instances that started at
#: the same time do not query a target at the same time.
JITTER = 0.2


def is_leaving(table: LeavingTable, target: str) -> bool:
    """Return whether the target is leaving according to any source."""
    return bool(list_sources(table, target))


def list_sources(table: LeavingTable, target: str) -> tuple[LeavingSource, ...]:
    """Return the sources according to which a target is leaving.

    Both own observations and records of peers count. Information from a source stays
    valid until the same source revokes it: a load report without a leaving flag does
    not reopen a target that an operator drained.
    """
    return tuple(
        source
        for source in LeavingSource
        if _is_marked_leaving(table.records.get((target, source)))
        or _is_marked_leaving(table.observations.get((target, source)))
    )


def _is_marked_leaving(item: LeavingRecord | Observation | None) -> bool:
    return item is not None and item.is_leaving


def record_observation(
    table: LeavingTable, key: LeavingKey, *, leaving: bool, now: float
) -> LeavingRecord | None:
    """Store an observation of this instance; return the record to send to peers.

    Guards against a message storm between instances whose lagging sources disagree:
    only a change of an instance's own observation, or a lasting contradiction, creates
    a record. A record whose creators are all gone is thus revoked by any instance that
    observes the target as open for CONTRADICT_AFTER_S.
    """
    seen = table.observations.get(key)
    is_first = seen is None
    has_changed = seen is not None and seen.is_leaving != leaving
    if is_first or has_changed:
        table.observations[key] = Observation(is_leaving=leaving, since=now)
    record = table.records.get(key)
    if _is_marked_leaving(record) == leaving:
        return None
    needs_record = (
        has_changed or (leaving and is_first) or _has_lasted(table, key, now=now)
    )
    if not needs_record:
        return None
    return create_record(table, key, leaving=leaving, now=now)


def _has_lasted(table: LeavingTable, key: LeavingKey, *, now: float) -> bool:
    """Return whether the target has been observed as open for CONTRADICT_AFTER_S.

    The time starts with the observation or the record, whichever is later.
    """
    seen = table.observations[key]
    since = max(seen.since, table.received_at.get(key, seen.since))
    return not seen.is_leaving and now - since >= CONTRADICT_AFTER_S


def record_load_report(
    table: LeavingTable, target: str, *, leaving: bool, now: float
) -> LeavingRecord | None:
    """Store the leaving flag of a load report; it cannot revoke a recent rejection."""
    key = (target, LeavingSource.TARGET)
    seen = table.observations.get(key)
    is_fresh = seen is not None and now - seen.since < REFUSAL_VALIDITY_S
    if not leaving and is_fresh and _is_marked_leaving(seen):
        return None
    return record_observation(table, key, leaving=leaving, now=now)


def create_record(
    table: LeavingTable, key: LeavingKey, *, leaving: bool, now: float
) -> LeavingRecord | None:
    """Create and return a record of the state; `None` if the table already says so."""
    record = table.records.get(key)
    if _is_marked_leaving(record) == leaving:
        return None
    target, source = key
    version = record.version + 1 if record else 1
    newer = LeavingRecord(
        target=target, source=source, is_leaving=leaving, version=version
    )
    merge_record(table, newer, now=now)
    return newer


def merge_record(table: LeavingTable, record: LeavingRecord, *, now: float) -> bool:
    """Merge a peer's record if it is newer than the known one; return whether it was.

    Of two records of one version the one that says leaving wins, so that tables
    converge whatever the order in which records arrive.
    """
    key = (record.target, record.source)
    known = table.records.get(key)
    if known is not None and _rank(record) <= _rank(known):
        return False
    table.records[key] = record
    table.received_at[key] = now
    return True


def _rank(record: LeavingRecord) -> tuple[int, bool]:
    return (record.version, record.is_leaving)


def compute_leaving_digest(table: LeavingTable) -> int:
    """Return the digest of all records. Equal tables have equal digests."""
    lines = sorted(
        f"{record.target}:{record.source}:{record.is_leaving}:{record.version}"
        for record in table.records.values()
    )
    return xxhash.xxh64_intdigest("\n".join(lines).encode())


def forget_undeclared(table: LeavingTable, declared: Iterable[str]) -> None:
    """Discard targets that are no longer declared, which bounds the table's memory."""
    kept = set(declared)
    table.records = {
        key: record for key, record in table.records.items() if key[0] in kept
    }
    table.observations = {
        key: seen for key, seen in table.observations.items() if key[0] in kept
    }
    table.received_at = {
        key: at for key, at in table.received_at.items() if key[0] in kept
    }


def select_followed(
    targets: Mapping[str, Target],
    *,
    own_name: str,
    own_data_centre: str,
    instances: Mapping[str, str],
    data_centres: Mapping[str, DataCentre],
) -> frozenset[str]:
    """Return the engines that this instance follows, a stable and bounded subset.

    `instances` maps each live instance to its data centre. Rendezvous hashing assigns
    each target FOLLOWERS instances of its data centre, so that every target is followed
    and few assignments change when an instance comes or goes. Each instance also
    follows some targets of each pool and range of layers, near ones first.
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
    chosen = _choose_per_range(ranked, engines, own_data_centre)
    assigned = _list_assigned(ranked, engines, own_name, instances)
    followed = list(dict.fromkeys([*chosen, *assigned]))
    return frozenset(followed[:MAX_FOLLOWED])


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


def _choose_per_range(
    ranked: Sequence[str], engines: Mapping[str, Target], own_data_centre: str
) -> list[str]:
    """Return the first few targets of each pool and range of layers.

    The limit per range is NEAR_PER_RANGE in the own data centre and FAR_PER_RANGE in
    the others.
    """
    counts: dict[tuple[object, ...], int] = {}
    chosen = []
    for name in ranked:
        target = engines[name]
        is_near = target.data_centre == own_data_centre
        key = (target.serves, target.layers, is_near)
        max_count = NEAR_PER_RANGE if is_near else FAR_PER_RANGE
        if counts.get(key, 0) < max_count:
            counts[key] = counts.get(key, 0) + 1
            chosen.append(name)
    return chosen


def _list_assigned(
    ranked: Sequence[str],
    engines: Mapping[str, Target],
    own_name: str,
    instances: Mapping[str, str],
) -> list[str]:
    """Return the targets that rendezvous hashing assigns to this instance.

    Candidates for a target are the instances of its data centre, or all of them if it
    has none.
    """
    by_data_centre: dict[str, list[str]] = {}
    for instance, data_centre in instances.items():
        by_data_centre.setdefault(data_centre, []).append(instance)
    all_instances = list(instances)
    assigned = []
    for name in ranked:
        candidates = by_data_centre.get(engines[name].data_centre, all_instances)
        if own_name not in candidates:
            continue
        own = _hash_pair(own_name, name)
        better = sum(_hash_pair(other, name) > own for other in candidates)
        if better < FOLLOWERS:
            assigned.append(name)
    return assigned


def reserve(pacer: Pacer, size: int, *, now: float) -> float:
    """Reserve `size` bytes; return the seconds to wait before the read may begin."""
    begin = max(now, pacer.free_from)
    pacer.free_from = begin + size / pacer.bytes_per_s
    return begin - now


def charge(pacer: Pacer, size: int) -> None:
    """Charge bytes beyond what was reserved; a negative size is a refund."""
    pacer.free_from += size / pacer.bytes_per_s


def draw_interval(generator: random.Random, *, is_used: bool) -> float:
    """Return the seconds until a target's next report, if the byte rate allows."""
    seconds = REPORT_INTERVAL_S if is_used else IDLE_REPORT_INTERVAL_S
    return seconds * generator.uniform(1 - JITTER, 1 + JITTER)
