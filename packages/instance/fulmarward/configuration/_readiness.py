"""The task that allows serving only while the newest configuration is known."""

import asyncio
import logging

from fulmarward._instance import Instance
from fulmarward.configuration._adopt import confirm_newest
from fulmarward.observability import log_event
from fulmarward.peers import PeerLinks
from fulmarward_core.membership import restart_suspicions

#: Seconds between two ticks.
TICK_INTERVAL_S = 0.5

#: Average seconds until an instance retries a failed confirmation. 330 instances that
#: start together put 220 reads a second on a recovering platform, and each waits for
#: about two seconds at most.
CONFIRM_RETRY_S = 1.5

_UNCONFIRMED_STATES = ("starting", "checking")


def record_tick(instance: Instance) -> None:
    """Record that the process runs; after a long pause, require a new confirmation.

    An instance that resumes after a freeze might serve by a file that was replaced
    meanwhile, and consider members dead whose messages it has not read. The gap
    between two ticks reveals the freeze, whatever its cause.
    """
    if instance.has_paused():
        instance.pauses += 1
        restart_suspicions(instance.members, now=instance.read_clock())
        log_event(
            "process_pause_detected", level=logging.WARNING, pauses=instance.pauses
        )
        if instance.lifecycle.state == "serving":
            instance.lifecycle.begin_check()
    instance.ticked_at = instance.read_pause_clock()


async def _confirm(instance: Instance, links: PeerLinks) -> None:
    await instance.peers_contacted.wait()
    pauses = instance.pauses
    is_known = await confirm_newest(instance, links)
    if is_known:
        # Before the drains are known, work could be sent to a draining target.
        await instance.targets_known.wait()
    is_wanted = instance.lifecycle.state in _UNCONFIRMED_STATES
    if is_known and is_wanted and instance.pauses == pauses:
        instance.lifecycle.become_ready()
        log_event("serving_started", epoch=instance.snapshot.head.epoch)
        return
    delay = CONFIRM_RETRY_S * instance.generator.uniform(0.5, 1.5)
    try:
        async with asyncio.timeout(delay):
            await instance.snapshot_changed.wait()
    except TimeoutError:
        return


async def run_readiness(instance: Instance, links: PeerLinks) -> None:
    """Record ticks, and confirm the configuration in states that require it."""
    confirming: asyncio.Task | None = None
    try:
        while True:
            record_tick(instance)
            if confirming is not None and confirming.done():
                confirming.result()
                confirming = None
            if confirming is None and instance.lifecycle.state in _UNCONFIRMED_STATES:
                confirming = asyncio.create_task(_confirm(instance, links))
            await asyncio.sleep(TICK_INTERVAL_S)
    finally:
        if confirming is not None:
            confirming.cancel()
