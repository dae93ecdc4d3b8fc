"""Child processes, which are signalled by their own process id only."""

import asyncio
import contextlib
import os
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

#: Timeout of conditions that tests wait for, in seconds. It is far above what any of
#: them takes, so that no result depends on the machine's speed.
WAIT_TIMEOUT_S = 30.0

#: Seconds between two checks of a condition.
POLL_INTERVAL_S = 0.02


@dataclass(kw_only=True)
class Process:
    """One child process."""

    #: Display name.
    name: str
    child: asyncio.subprocess.Process
    #: File that receives its output.
    log: Path

    def send(self, number: signal.Signals) -> None:
        """Send a signal, if the process still runs.

        A process that has just ended may be gone before its return code is known.
        """
        if self.child.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.child.pid, number)

    async def stop(self) -> int:
        """Terminate the process and wait; kill it after `WAIT_TIMEOUT_S`."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGTERM)
        try:
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                return await self.child.wait()
        except TimeoutError:
            return await self.kill()

    async def kill(self) -> int:
        """Kill the process and wait."""
        self.send(signal.SIGKILL)
        return await self.child.wait()


async def start_process(name: str, command: list[str], folder: Path) -> Process:
    """Start a child whose output goes to `NAME.log` in `folder`.

    The child gets its own process group. When a parent shell ends, the kernel
    continues all stopped processes of its orphaned group; a child frozen by a test
    must not be among them.
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
    """Poll `condition` until it returns a true value and return that value."""
    try:
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while True:
                value = await condition()
                if value:
                    return value
                await asyncio.sleep(POLL_INTERVAL_S)
    except TimeoutError as error:
        raise AssertionError(f"expected {what}, waited {WAIT_TIMEOUT_S} s") from error
