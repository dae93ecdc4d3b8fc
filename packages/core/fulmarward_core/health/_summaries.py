"""Pool summaries: aggregation, choice of the publishing instance, and exchange."""

from collections.abc import Mapping, Sequence

import xxhash

from fulmarward_core.declaration import Target, TargetKind
from fulmarward_core.health._types import PoolKey, PoolSummary, SummaryRecord
from fulmarward_core.routing import TargetView

#: Tenths of a second by which a summary's version may be ahead of this instance's
#: clock. Without a bound, a publisher whose clock is far ahead would suppress the
#: summaries of all later ones. Synchronized clocks differ by far less.
MAX_VERSION_AHEAD = 600

#: Maximum number of summaries in one message. There are 4 pools in 19 data centres;
#: 16 summaries of about 60 bytes every three seconds fit their share of the 4 KB/s for
#: control messages.
MAX_SUMMARIES_PER_MESSAGE = 16


def choose_publisher(instances: Sequence[str], key: PoolKey) -> str:
    """Return which instance of a data centre publishes a pool's summary.

    Rendezvous hashing keeps the choice stable when other instances come and go.
    """
    return max(
        instances,
        key=lambda name: (xxhash.xxh64_intdigest(f"{name}\0{key}".encode()), name),
    )


def choose_candidates(instances: Sequence[str], pool: str, max_count: int) -> list[str]:
    """Return the best `max_count` candidates for the placement of a pool.

    Rendezvous hashing keeps the choice stable when other instances come and go.
    """
    return sorted(
        instances,
        key=lambda name: xxhash.xxh64_intdigest(f"{name}\0{pool}".encode()),
        reverse=True,
    )[:max_count]


def list_pools(targets: Mapping[str, Target], data_centre: str) -> list[str]:
    """Return the names of the models that the engines of a data centre serve."""
    found = {
        target.serves
        for target in targets.values()
        if target.kind is TargetKind.ENGINE and target.data_centre == data_centre
    }
    return sorted(found)


def summarize_pool(
    *,
    targets: Mapping[str, Target],
    views: Mapping[str, TargetView],
    leaving: frozenset[str],
    key: PoolKey,
    now: float,
) -> PoolSummary:
    """Return the summary of a pool in a data centre.

    Slots are exact, from the declaration. The load is extrapolated from the followed
    targets to all open ones, since no instance follows every target.
    """
    serves, data_centre = key
    open_targets = {
        name: target
        for name, target in targets.items()
        if target.kind is TargetKind.ENGINE
        and (target.serves, target.data_centre) == key
        and name not in leaving
    }
    slots = sum(target.slots for target in open_targets.values())
    reports = [
        (views[name].report, target.slots)
        for name, target in open_targets.items()
        if name in views and views[name].report.received_at > float("-inf")
    ]
    reported_slots = sum(target_slots for _, target_slots in reports)
    scale = slots / reported_slots if reported_slots else 0.0
    return PoolSummary(
        slots=slots,
        running=round(scale * sum(report.running for report, _ in reports)),
        waiting=round(scale * sum(report.waiting for report, _ in reports)),
        open_targets=len(open_targets),
        computed_at=now,
    )


def is_newer(known: Mapping[PoolKey, int], record: SummaryRecord, *, wall: int) -> bool:
    """Return whether a peer's summary is newer than the known one.

    `wall` is this instance's wall clock in tenths of a second. Versions too far ahead
    of it are rejected.
    """
    if record.version > wall + MAX_VERSION_AHEAD:
        return False
    return record.version > known.get((record.serves, record.data_centre), 0)


def select_unsent(
    versions: Mapping[PoolKey, int], sent: Mapping[PoolKey, int]
) -> list[PoolKey]:
    """Return the summaries that a peer lacks, newest first, limited to one message."""
    unsent = [key for key, version in versions.items() if sent.get(key, 0) < version]
    unsent.sort(key=lambda key: versions[key], reverse=True)
    return unsent[:MAX_SUMMARIES_PER_MESSAGE]
