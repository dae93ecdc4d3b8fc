"""The task that lets an instance serve only while it knows the newest configuration."""

import asyncio
import logging

from fulmarward._instance import Instance
from fulmarward.configuration._adopt import confirm_newest
from fulmarward.observability import log_event
from fulmarward.peers import PeerLinks
from fulmarward_core.membership import forgive_silence

#: Seconds between two ticks.
TICK_S = 0.5

#: Seconds after which an instance that could not confirm tries again, on average.
#: Harm: 330 instances that start together press on a platform that comes back;
#: reason: 220 reads a second in all, and each waits for two seconds at most.
RETRY_S = 1.5

_UNCONFIRMED = ("starting", "checking")


def note_tick(instance: Instance) -> None:
    """Note that the instance runs, and doubt what it knows if it did not for long.

    Guards against an instance that was frozen and wakes: it would serve by a file
    that was replaced meanwhile, and hold members dead whose words it did not read.
    The gap between two ticks shows it, whatever froze it.
    """
    if instance.has_paused():
        instance.pauses += 1
        forgive_silence(instance.members, now=instance.read_clock())
        log_event("paused", level=logging.WARNING, pauses=instance.pauses)
        if instance.lifecycle.state == "serving":
            instance.lifecycle.doubt()
    instance.ticked_at = instance.read_pause_clock()


async def _confirm(instance: Instance, links: PeerLinks) -> None:
    await instance.met_peers.wait()
    pauses = instance.pauses
    is_known = await confirm_newest(instance, links)
    if is_known:
        # Serving before the drains are known would send work to a leaving target.
        await instance.targets_known.wait()
    is_wanted = instance.lifecycle.state in _UNCONFIRMED
    if is_known and is_wanted and instance.pauses == pauses:
        instance.lifecycle.become_ready()
        log_event("serving", epoch=instance.snapshot.head.epoch)
        return
    delay = RETRY_S * instance.generator.uniform(0.5, 1.5)
    try:
        async with asyncio.timeout(delay):
            await instance.snapshot_changed.wait()
    except TimeoutError:
        return


async def run_readiness(instance: Instance, links: PeerLinks) -> None:
    """Tick, and confirm the newest configuration whenever it is not certain."""
    confirming: asyncio.Task | None = None
    try:
        while True:
            note_tick(instance)
            if confirming is not None and confirming.done():
                confirming.result()
                confirming = None
            if confirming is None and instance.lifecycle.state in _UNCONFIRMED:
                confirming = asyncio.create_task(_confirm(instance, links))
            await asyncio.sleep(TICK_S)
    finally:
        if confirming is not None:
            confirming.cancel()
