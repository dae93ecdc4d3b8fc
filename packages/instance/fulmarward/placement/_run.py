"""Runs two tasks for each declared pool: the lease and the control loop."""

import asyncio

from fulmarward._instance import Instance
from fulmarward.peers import PeerLinks
from fulmarward.placement._lease import keep_lease, make_keeper
from fulmarward.placement._pool import PoolPlacement, run_pool
from fulmarward_core.declaration import Declaration, TargetKind


def _list_pools(declaration: Declaration) -> set[str]:
    """Return the models that are served by engines."""
    return {
        target.serves
        for target in declaration.targets.values()
        if target.kind is TargetKind.ENGINE
    }


async def _run_pool_tasks(instance: Instance, links: PeerLinks, pool: str) -> None:
    keeper = make_keeper(instance, pool)
    placement = PoolPlacement(keeper=keeper)
    async with asyncio.TaskGroup() as group:
        group.create_task(keep_lease(instance, keeper))
        group.create_task(run_pool(instance, links, placement))


async def run_placement(instance: Instance, links: PeerLinks) -> None:
    """Start the tasks of each declared pool, and cancel those of removed pools."""
    async with asyncio.TaskGroup() as group:
        tasks: dict[str, asyncio.Task] = {}
        while True:
            changed = instance.snapshot_changed
            pools = _list_pools(instance.snapshot.declaration)
            for pool in tasks.keys() - pools:
                tasks.pop(pool).cancel()
            for pool in pools - tasks.keys():
                tasks[pool] = group.create_task(_run_pool_tasks(instance, links, pool))
            await changed.wait()
