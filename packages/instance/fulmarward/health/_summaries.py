"""Pool summaries: computes those of its data centre, and merges those of others."""

import asyncio

from fulmarward._instance import Instance
from fulmarward_core.health import (
    PoolKey,
    PoolSummary,
    SummaryRecord,
    choose_publisher,
    is_leaving,
    is_newer,
    list_pools,
    select_unsent,
    summarize_pool,
)
from fulmarward_core.membership import MemberState

#: Seconds between two summaries of one pool. Shifting load between data centres takes
#: longer than this, and 76 pairs of pool and data centre have to share 4 KB/s.
SUMMARY_INTERVAL_S = 15.0


def _read_wall_tenths(instance: Instance) -> int:
    return int(instance.read_wall_clock() * 10)


def _list_instances(instance: Instance) -> list[str]:
    """Return the live instances of the own data centre, this one included."""
    own = instance.settings.data_centre
    return [
        member.name
        for member in instance.members.members.values()
        if member.data_centre == own and member.state is MemberState.ALIVE
    ] or [instance.member.name]


def _compute_own_summaries(instance: Instance) -> None:
    own = instance.settings.data_centre
    targets = instance.snapshot.declaration.targets
    instances = _list_instances(instance)
    leaving = frozenset(name for name in targets if is_leaving(instance.leaving, name))
    for pool in list_pools(targets, own):
        key = (pool, own)
        if choose_publisher(instances, key) != instance.member.name:
            continue
        instance.summaries[key] = summarize_pool(
            targets=targets,
            views=instance.views,
            leaving=leaving,
            key=key,
            now=instance.read_clock(),
        )
        instance.summary_versions[key] = _read_wall_tenths(instance)


def _drop_removed(instance: Instance) -> None:
    """Drop removed pools and peers, so that the declaration bounds memory."""
    declaration = instance.snapshot.declaration
    for key in list(instance.summaries):
        if key[0] not in declaration.models or key[1] not in declaration.data_centres:
            del instance.summaries[key]
            instance.summary_versions.pop(key, None)
    for peer in list(instance.summaries_sent):
        if peer not in instance.members.members:
            del instance.summaries_sent[peer]


def take_unsent(instance: Instance, peer: str) -> tuple[SummaryRecord, ...]:
    """Return the summaries that a peer lacks, and mark them as sent.

    A summary lost in transit is replaced by the next one of its pool.
    """
    sent = instance.summaries_sent.setdefault(peer, {})
    keys = select_unsent(instance.summary_versions, sent)
    sent.update({key: instance.summary_versions[key] for key in keys})
    now = instance.read_clock()
    return tuple(_make_record(instance, key, now) for key in keys)


def _make_record(instance: Instance, key: PoolKey, now: float) -> SummaryRecord:
    summary = instance.summaries[key]
    return SummaryRecord(
        serves=key[0],
        data_centre=key[1],
        slots=summary.slots,
        running=summary.running,
        waiting=summary.waiting,
        open_targets=summary.open_targets,
        version=instance.summary_versions[key],
        age=max(int((now - summary.computed_at) * 10), 0),
    )


def merge_summaries(
    instance: Instance, peer: str, records: tuple[SummaryRecord, ...]
) -> None:
    """Merge a peer's summaries, keeping the newer version of each."""
    sent = instance.summaries_sent.setdefault(peer, {})
    wall = _read_wall_tenths(instance)
    declaration = instance.snapshot.declaration
    for record in records:
        key = (record.serves, record.data_centre)
        if key[0] not in declaration.models or key[1] not in declaration.data_centres:
            continue
        if not is_newer(instance.summary_versions, record, wall=wall):
            continue
        instance.summary_versions[key] = record.version
        sent[key] = record.version
        instance.summaries[key] = PoolSummary(
            slots=record.slots,
            running=record.running,
            waiting=record.waiting,
            open_targets=record.open_targets,
            computed_at=instance.read_clock() - record.age / 10,
        )


async def run_summaries(instance: Instance) -> None:
    """Periodically recompute the summaries that this instance is responsible for."""
    while True:
        _drop_removed(instance)
        _compute_own_summaries(instance)
        await asyncio.sleep(SUMMARY_INTERVAL_S * instance.generator.uniform(0.8, 1.2))
