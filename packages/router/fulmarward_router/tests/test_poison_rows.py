import unittest
from types import SimpleNamespace
from unittest import mock

from fulmarward_router.ports import RowsRead, StoreRefused
from fulmarward_router.state import PoisonKnowledge, PoisonRows


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
