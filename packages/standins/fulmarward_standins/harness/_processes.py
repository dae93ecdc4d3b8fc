"""Child processes: started, watched, and ended by their own id only."""

import asyncio
import contextlib
import os
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

#: Seconds after which a condition that tests wait for is given up as failed. It is far
#: above what any of them takes, so that no verdict rests on the machine's speed.
GIVE_UP_S = 30.0

#: Seconds between two looks at a condition.
LOOK_S = 0.02


@dataclass(kw_only=True)
class Process:
    """One child process."""

    #: Name for people.
    name: str
    #: The child.
    child: asyncio.subprocess.Process
    #: Where its log goes.
    log: Path

    def send(self, number: signal.Signals) -> None:
        """Send a signal, if the process still runs.

        One that has just ended may be gone before its return code is known here.
        """
        if self.child.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.child.pid, number)

    async def stop(self) -> int:
        """Ask it to end and wait; kill it only when it does not."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGTERM)
        try:
            async with asyncio.timeout(GIVE_UP_S):
                return await self.child.wait()
        except TimeoutError:
            return await self.kill()

    async def kill(self) -> int:
        """End it at once and wait."""
        self.send(signal.SIGKILL)
        return await self.child.wait()


async def start_process(name: str, command: list[str], folder: Path) -> Process:
    """Start a child whose output goes to `NAME.log` in `folder`.

    It has a process group of its own. Guards against a shell above that ends: the
    kernel then continues all stopped processes of the group that it leaves behind.
    """
    log = folder / f"{name}.log"
    with log.open("ab") as output:
        child = await asyncio.create_subprocess_exec(
            *command,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=output,
            stderr=output,
            process_group=0,
        )
    return Process(name=name, child=child, log=log)


async def wait_until(condition: Callable[[], Awaitable[object]], what: str) -> object:
    """Wait for `condition` to give a true value and return that value."""
    try:
        async with asyncio.timeout(GIVE_UP_S):
            while True:
                value = await condition()
                if value:
                    return value
                await asyncio.sleep(LOOK_S)
    except TimeoutError as error:
        raise AssertionError(f"expected {what}, waited {GIVE_UP_S} s") from error
