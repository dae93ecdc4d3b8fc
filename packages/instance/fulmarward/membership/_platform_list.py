"""Polls the platform's list of instances and targets, which lags behind reality."""

import asyncio

from fulmarward._instance import Instance
from fulmarward.health import note_list
from fulmarward.platform import PlatformMember, PlatformUnavailable, list_members
from fulmarward_core.membership import ListedInstance, choose_list_delay, update_listed


def _note_targets(instance: Instance, entries: tuple[PlatformMember, ...]) -> None:
    for entry in entries:
        if entry.kind == "target":
            note_list(instance, entry.name, leaving=entry.is_leaving)


async def read_platform_list(instance: Instance) -> bool:
    """Merge the platform's list; return whether the platform answered."""
    entries = await list_members(instance.platform)
    if isinstance(entries, PlatformUnavailable):
        return False
    _note_targets(instance, entries)
    listed = [
        ListedInstance(
            name=entry.name,
            peer_address=entry.peer_address,
            is_leaving=entry.is_leaving,
        )
        for entry in entries
        if entry.kind == "instance"
    ]
    update_listed(instance.members, listed, now=instance.read_clock())
    return True


async def poll_platform_list(instance: Instance) -> None:
    """Poll the platform's list, less often after failures."""
    failures = 0
    while True:
        delay = choose_list_delay(
            members=len(instance.members.members),
            failures=failures,
            generator=instance.generator,
        )
        await asyncio.sleep(delay)
        failures = 0 if await read_platform_list(instance) else failures + 1
