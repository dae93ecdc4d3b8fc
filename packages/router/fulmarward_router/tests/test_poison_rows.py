import asyncio
import unittest
from types import SimpleNamespace
from unittest import mock

import cbor2

from fulmarward_router._supervision import TaskSupervisor
from fulmarward_router.ports import Row, RowsRead, StoreRefused
from fulmarward_router.state import PoisonKnowledge, PoisonRows
from fulmarward_router.tests._simulated_time import run_simulated


class PoisonRowsTest(unittest.IsolatedAsyncioTestCase):
    async def test_instance_is_current_once_the_store_has_answered(self):
        """Guards against callers that wait while all instances start together."""
        poison = PoisonKnowledge(
            read_clock=lambda: 0.0,
            notify_peers=lambda patterns: None,
            fetch_from_peers=lambda: None,
            record_block_changed=lambda patterns: None,
        )
        answers = [StoreRefused(), RowsRead(rows=(), version=1)]
        store = SimpleNamespace(read_table=mock.AsyncMock(side_effect=answers))
        rows = PoisonRows(store=store, poison=poison, read_wall_clock=lambda: 0.0)
        for is_current in (False, True):
            await rows._read()
            self.assertEqual(poison.is_current, is_current)


#: The crashes in a row: target, team, whether it is strong, and trusted.
CRASHES = [[f"t{number}", "team", True, False] for number in range(5)]

ODD_ROWS = [
    ("pattern", b""),
    ("pattern", b"\x81" * 5000),
    ("pattern", cbor2.dumps([10.0])),
    ("pattern", cbor2.dumps([10.0, 5])),
    ("pattern", cbor2.dumps(["10", CRASHES])),
    ("pattern", cbor2.dumps([float("nan"), CRASHES])),
    ("pattern", cbor2.dumps([10**400, CRASHES])),
    ("pattern", cbor2.dumps([True, CRASHES])),
    ("pattern", cbor2.dumps([10.0, [[5, "team", True, False]] * 5])),
    ("pattern", cbor2.dumps([10.0, [["t", [], True, False]] * 5])),
    ("pattern", cbor2.dumps([10.0, [["t", "team", "yes", False]] * 5])),
    ("pattern", cbor2.dumps([10.0, [["t" * 1000, "team", True, False]] * 5])),
    ("pattern", cbor2.dumps([10.0, CRASHES * 1000])),
    ("", cbor2.dumps([10.0, CRASHES])),
    ("pat\r\ntern", cbor2.dumps([10.0, CRASHES])),
    ("p" * 1000, cbor2.dumps([10.0, CRASHES])),
]


class FailedWriteTest(unittest.TestCase):
    def test_pattern_whose_write_failed_is_written_later(self):
        """Guards against a block that is forgotten by an error of one write."""

        async def play(read_clock):
            written = []

            async def transact(conditions, writes):
                written.append(writes[0].key)
                if len(written) < 3:
                    raise ValueError

            read = RowsRead(rows=(), version=1)
            store = SimpleNamespace(
                era=None,
                read_table=mock.AsyncMock(return_value=read),
                transact=transact,
            )
            poison = mock.Mock()
            poison.is_blocked.return_value = False
            rows = PoisonRows(store=store, poison=poison, read_wall_clock=read_clock)
            rows.record_changed(["one", "two"])
            tasks = TaskSupervisor(read_clock=read_clock, count_failure=mock.Mock())
            running = asyncio.create_task(tasks.run("poison_rows", rows.run))
            await asyncio.sleep(20.0)
            running.cancel()
            return written

        written = run_simulated(play)
        self.assertEqual(sorted(written[2:]), ["one", "two"])


class OddRowTest(unittest.IsolatedAsyncioTestCase):
    async def read_patterns(self, *rows):
        poison = PoisonKnowledge(
            read_clock=lambda: 100.0,
            notify_peers=lambda patterns: None,
            fetch_from_peers=lambda: None,
            record_block_changed=lambda patterns: None,
        )
        read = RowsRead(rows=rows, version=1)
        store = SimpleNamespace(read_table=mock.AsyncMock(return_value=read))
        await PoisonRows(
            store=store, poison=poison, read_wall_clock=lambda: 10.0
        )._read()
        return {report.pattern for report in poison.make_reports()}

    async def test_odd_row_harms_no_other(self):
        """Guards against rows of another writer that end the reading, or spread."""
        proper = Row(key="proper", value=cbor2.dumps([10.0, CRASHES]), version=1)
        for key, value in ODD_ROWS:
            with self.subTest(key=key[:40], value=value[:40]):
                odd = Row(key=key, value=value, version=1)
                self.assertEqual(await self.read_patterns(odd, proper), {"proper"})
