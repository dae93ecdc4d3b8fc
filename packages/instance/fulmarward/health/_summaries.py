"""Summaries of pools: adding up the own data centre's, and hearing of the others."""

import asyncio

from fulmarward._instance import Instance
from fulmarward_core.health import (
    PoolKey,
    PoolSummary,
    SummaryRecord,
    add_up,
    choose_teller,
    is_leaving,
    is_newer,
    list_pools,
    select_unsent,
)
from fulmarward_core.membership import MemberState

#: Seconds between two summaries of one pool. Load: 76 pools and data centres; harm:
#: bytes of the 4 KB/s; reason: shifting between data centres takes longer than this.
SUMMARY_S = 15.0


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


def _add_up_own(instance: Instance) -> None:
    own = instance.settings.data_centre
    targets = instance.snapshot.declaration.targets
    instances = _list_instances(instance)
    leaving = frozenset(name for name in targets if is_leaving(instance.leaving, name))
    for pool in list_pools(targets, own):
        key = (pool, own)
        if choose_teller(instances, key) != instance.member.name:
            continue
        instance.summaries[key] = add_up(
            targets=targets,
            views=instance.views,
            leaving=leaving,
            key=key,
            now=instance.read_clock(),
        )
        instance.summary_versions[key] = _read_wall_tenths(instance)


def _forget_old(instance: Instance) -> None:
    """Drop pools and peers that are gone: memory is bounded by the declaration."""
    declaration = instance.snapshot.declaration
    for key in list(instance.summaries):
        if key[0] not in declaration.models or key[1] not in declaration.data_centres:
            del instance.summaries[key]
            instance.summary_versions.pop(key, None)
    for peer in list(instance.summaries_sent):
        if peer not in instance.members.members:
            del instance.summaries_sent[peer]


def take_unsent(instance: Instance, peer: str) -> tuple[SummaryRecord, ...]:
    """Return the summaries that a peer lacks, and note them as sent.

    One that is lost on the way is made good by the next summary of its pool.
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
        age=max(int((now - summary.told_at) * 10), 0),
    )


def hear_summaries(
    instance: Instance, peer: str, records: tuple[SummaryRecord, ...]
) -> None:
    """Take in a peer's summaries, each if it is newer than what is known."""
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
            told_at=instance.read_clock() - record.age / 10,
        )


async def run_summaries(instance: Instance) -> None:
    """Add up what this instance has to tell, now and then."""
    while True:
        _forget_old(instance)
        _add_up_own(instance)
        await asyncio.sleep(SUMMARY_S * instance.generator.uniform(0.8, 1.2))
