import os
import signal
import sys
import tempfile
import unittest
from pathlib import Path
from types import SimpleNamespace

from fulmarward_standins.harness._processes import Process, start_process


class SendTest(unittest.IsolatedAsyncioTestCase):
    async def test_signal_to_a_process_that_has_just_ended_is_ignored(self):
        """Guards against soak tests that fail with an error of the harness itself."""
        with tempfile.TemporaryDirectory() as folder:
            ended = await start_process("p", [sys.executable, "-c", ""], Path(folder))
            await ended.child.wait()
            # The return code is not known yet.
            child = SimpleNamespace(pid=ended.child.pid, returncode=None)
            Process(name="p", child=child, log=ended.log).send(signal.SIGKILL)

    async def test_child_has_its_own_process_group(self):
        """Guards against a stopped child that continues when its group is orphaned."""
        with tempfile.TemporaryDirectory() as folder:
            command = [sys.executable, "-c", "import time; time.sleep(60)"]
            process = await start_process("p", command, Path(folder))
            try:
                group = os.getpgid(process.child.pid)
            finally:
                await process.kill()
            self.assertEqual(group, process.child.pid)
